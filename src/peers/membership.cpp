#include "peers/membership.h"

#include "common/error.h"
#include "common/state_chart.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

namespace amaranthladder {

namespace {

constexpr std::uint64_t rounds_per_cleanup = 64;
constexpr std::size_t max_relayed_probes = 1024;
// At 30% datagram loss, a probe of a live member fails in 22% of rounds without a retry, in 11% with one and in 3% with
// two (computed for the direct and the relayed paths).
constexpr int max_probe_retries = 2;
constexpr std::size_t max_contacts = 16;
constexpr std::size_t seeds_per_attempt = 3;
// In small meshes, suspicion lasts slightly longer than the multiplier times one probe interval.
constexpr double suspicion_log_offset = 9.0;

double jitter(absl::BitGenRef random) {
    return absl::Uniform(random, 0.5, 1.5);
}

} // namespace

membership::membership(const peer_settings& settings, std::uint64_t incarnation)
    : m_settings(settings), m_self{settings.address, settings.http_address, settings.data_center, member_state::alive,
                                   incarnation},
      m_table(member_traits(), settings.dead_member_retention), m_contacts(settings.seeds),
      m_seed_backoff(settings.join_retry_initial) {
    read_transitions();
    std::erase(m_contacts, m_self.address);
    update_member(m_self, absl::InfinitePast(), absl::ZeroDuration());
}

void membership::read_transitions() {
    constexpr std::array<std::string_view, event_count> event_names{
        "probe_failed", "suspicion_expired", "heard_alive", "heard_suspected", "heard_dead", "heard_left"};
    const state_chart chart = state_chart::embedded("member");
    for (std::size_t from = 0; from < state_count; ++from) {
        for (std::size_t trigger = 0; trigger < event_count; ++trigger) {
            const auto target = chart.target(name(static_cast<member_state>(from)), event_names[trigger]);
            for (std::size_t to = 0; target && to < state_count; ++to) {
                if (*target == name(static_cast<member_state>(to))) {
                    m_transitions[from][trigger] = static_cast<member_state>(to);
                }
            }
            if (target && !m_transitions[from][trigger]) {
                throw error(result_code::chart_unknown_state, "member: " + *target);
            }
        }
    }
}

std::optional<member_state> membership::next_state(member_state state, event trigger) const {
    return m_transitions[static_cast<std::size_t>(state)][static_cast<std::size_t>(trigger)];
}

std::vector<probe_message> membership::tick(absl::Time now, absl::BitGenRef random) {
    std::vector<probe_message> out;
    detect_pause(now);
    if (m_self.state == member_state::left) {
        return out;
    }
    expire_suspicions(now);
    expire_relayed_probes(now);
    m_table.expire(now);
    if (m_next_round == absl::InfinitePast()) {
        // Random phase, so that daemons started together do not probe simultaneously.
        m_next_round = now + absl::Uniform(random, 0.0, 1.0) * m_settings.probe_interval;
        m_next_seed_contact = now + absl::Uniform(random, 0.0, 1.0) * m_settings.join_retry_initial;
    }
    if (now >= m_next_round) {
        end_round(now, out);
        begin_round(now, random, out);
        m_next_round = std::max(m_next_round + m_settings.probe_interval, now + m_settings.probe_interval / 2);
    }
    send_indirect_probes(now, random, out);
    contact_seeds(now, random, out);
    return out;
}

void membership::detect_pause(absl::Time now) {
    const absl::Duration gap = m_last_tick ? now - *m_last_tick : absl::ZeroDuration();
    m_last_tick = now;
    m_last_pause = absl::ZeroDuration();
    if (gap <= m_settings.probe_timeout) {
        return;
    }
    m_last_pause = gap;
    m_is_round_interrupted = true;
    // Refutations that arrived during the pause are still in the socket buffer, so suspicions are extended by the
    // pause.
    for (auto& [address, suspected] : m_suspicions) {
        // A suspicion that a datagram from the socket buffer started after the pause already has its full time.
        suspected.deadline = std::min(suspected.deadline + gap, now + suspicion_time());
    }
}

void membership::end_round(absl::Time now, std::vector<probe_message>& out) {
    const bool is_failed = m_probe && !m_probe->is_acked && !m_is_round_interrupted;
    if (is_failed) {
        if (const member* target = find(m_probe->target); target != nullptr) {
            if (const auto state = next_state(target->state, event::probe_failed)) {
                member changed = *target;
                changed.state = *state;
                update_member(changed, now, absl::ZeroDuration());
                // Datagrams to a suspected member carry the suspicion, so that it can refute it at once.
                out.push_back({changed.address, message_kind::ping, m_next_sequence++, {}});
            }
        }
    }
    m_probe.reset();
    m_is_round_interrupted = false;
}

void membership::begin_round(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out) {
    if (++m_round % rounds_per_cleanup == 0) {
        prune_indexes();
    }
    const bool is_preferred_round = m_round % 2 == 0;
    std::optional<endpoint> target = is_preferred_round ? next_preferred_target() : std::nullopt;
    if (!target) {
        target = next_target(random);
    }
    if (target) {
        m_probe = probe{*target, m_next_sequence++, now, false, 0};
        out.push_back({*target, message_kind::ping, m_probe->sequence, {}});
    }
    if (!m_gone_members.empty() && m_round % static_cast<std::uint64_t>(m_settings.rounds_per_dead_probe) == 0) {
        auto chosen = m_gone_members.begin();
        std::advance(chosen, absl::Uniform<std::size_t>(random, 0, m_gone_members.size()));
        out.push_back({*chosen, message_kind::ping, m_next_sequence++, {}});
    }
}

void membership::prune_indexes() {
    std::erase_if(m_gone_members, [&](const endpoint& address) { return find(address) == nullptr; });
    for (auto& [http_address, addresses] : m_by_http_address) {
        std::erase_if(addresses, [&](const endpoint& address) { return find(address) == nullptr; });
    }
    std::erase_if(m_by_http_address, [](const auto& row) { return row.second.empty(); });
}

std::optional<endpoint> membership::next_preferred_target() {
    for (std::size_t tried = 0; tried < m_preferred_targets.size(); ++tried) {
        const endpoint& candidate = m_preferred_targets[m_next_preferred_target++ % m_preferred_targets.size()];
        if (m_live_position.contains(candidate)) {
            return candidate;
        }
    }
    return std::nullopt;
}

std::optional<endpoint> membership::next_target(absl::BitGenRef random) {
    while (true) {
        if (m_probe_order.empty()) {
            m_probe_order = m_live;
            std::shuffle(m_probe_order.begin(), m_probe_order.end(), random);
        }
        if (m_probe_order.empty()) {
            return std::nullopt;
        }
        const endpoint target = m_probe_order.back();
        m_probe_order.pop_back();
        if (m_live_position.contains(target)) {
            return target;
        }
    }
}

void membership::send_indirect_probes(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out) {
    if (!m_probe || m_probe->is_acked || m_probe->retries == max_probe_retries ||
        now < m_probe->sent + (m_probe->retries + 1) * m_settings.probe_timeout) {
        return;
    }
    ++m_probe->retries;
    out.push_back({m_probe->target, message_kind::ping, m_probe->sequence, {}});
    for (const endpoint& relay : choose_relays(m_probe->target, random)) {
        out.push_back({relay, message_kind::ping_req, m_probe->sequence, m_probe->target});
    }
}

std::vector<endpoint> membership::choose_relays(const endpoint& target, absl::BitGenRef random) const {
    const auto wanted = static_cast<std::size_t>(m_settings.indirect_probe_count);
    std::vector<endpoint> chosen = random_live(3 * wanted, random);
    std::erase(chosen, target);
    // One relay in the target's data centre distinguishes a partition between data centres from a dead member.
    const member* const probed = find(target);
    const auto relay_near_target = std::ranges::find_if(chosen, [&](const endpoint& relay) {
        return probed != nullptr && find(relay)->data_center == probed->data_center;
    });
    if (relay_near_target != chosen.end()) {
        std::iter_swap(chosen.begin(), relay_near_target);
    }
    chosen.resize(std::min(chosen.size(), wanted));
    return chosen;
}

void membership::contact_seeds(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out) {
    if (now < m_next_seed_contact) {
        return;
    }
    std::vector<endpoint> unreachable;
    std::ranges::copy_if(m_contacts, std::back_inserter(unreachable),
                         [&](const endpoint& seed) { return !m_live_position.contains(seed); });
    std::shuffle(unreachable.begin(), unreachable.end(), random);
    const bool is_alone = m_live.empty();
    unreachable.resize(std::min(unreachable.size(), is_alone ? seeds_per_attempt : 1));
    for (const endpoint& seed : unreachable) {
        out.push_back({seed, message_kind::ping, m_next_sequence++, {}});
    }
    m_seed_backoff = is_alone ? std::min(2 * m_seed_backoff, m_settings.join_retry_max) : m_settings.join_retry_max;
    m_next_seed_contact = now + jitter(random) * m_seed_backoff;
}

void membership::expire_suspicions(absl::Time now) {
    std::vector<std::pair<endpoint, absl::Time>> expired;
    for (const auto& [address, suspected] : m_suspicions) {
        if (suspected.deadline <= now) {
            expired.emplace_back(address, std::min(now, suspected.reported_dead_since));
        }
    }
    for (const auto& [address, dead_since] : expired) {
        member changed = *find(address);
        changed.state = next_state(changed.state, event::suspicion_expired).value_or(changed.state);
        update_member(changed, now, now - dead_since);
    }
}

void membership::expire_relayed_probes(absl::Time now) {
    // Sequence numbers increase over time, so the first entry is the oldest.
    while (!m_relayed_probes.empty() && m_relayed_probes.begin()->second.expires <= now) {
        m_relayed_probes.erase(m_relayed_probes.begin());
    }
}

std::vector<probe_message> membership::receive(const datagram& message, absl::Time now) {
    std::vector<probe_message> out;
    const endpoint& sender = message.sender.address;
    if (sender == m_self.address || m_self.state == member_state::left) {
        return out;
    }
    if (message.kind == message_kind::ping) {
        out.push_back({sender, message_kind::ack, message.sequence, {}});
    } else if (message.kind == message_kind::ping_req && m_relayed_probes.size() < max_relayed_probes &&
               message.target != m_self.address) {
        m_relayed_probes[m_next_sequence] = {sender, message.sequence, message.target, now + m_settings.probe_interval};
        out.push_back({message.target, message_kind::ping, m_next_sequence++, {}});
    } else if (message.kind == message_kind::ack) {
        const endpoint& responder = message.target.address.empty() ? sender : message.target;
        if (m_probe && m_probe->sequence == message.sequence && m_probe->target == responder) {
            m_probe->is_acked = true;
        }
        const auto relayed = m_relayed_probes.find(message.sequence);
        if (relayed != m_relayed_probes.end() && relayed->second.target == responder) {
            out.push_back({relayed->second.origin, message_kind::ack, relayed->second.origin_sequence, responder});
            m_relayed_probes.erase(relayed);
        }
    }
    return out;
}

void membership::merge(const member& received, absl::Time now, absl::Duration age) {
    if (received.address == m_self.address) {
        refute(received, now);
        return;
    }
    const member* const stored = find(received.address);
    if (stored == nullptr) {
        update_member(received, now, age);
        return;
    }
    if (std::tie(received.incarnation, received.state) <= std::tie(stored->incarnation, stored->state)) {
        return;
    }
    constexpr std::array events{event::heard_alive, event::heard_suspected, event::heard_dead, event::heard_left};
    const auto state = next_state(stored->state, events[static_cast<std::size_t>(received.state)]);
    if (state || received.incarnation != stored->incarnation) {
        member changed = received;
        changed.state = state.value_or(stored->state);
        update_member(changed, now, age);
    }
    const auto suspected = m_suspicions.find(received.address);
    if (received.state == member_state::dead && suspected != m_suspicions.end()) {
        suspected->second.reported_dead_since = std::min(suspected->second.reported_dead_since, now - age);
    }
}

void membership::refute(const member& received, absl::Time now) {
    const bool needs_no_refutation = received == m_self || received.incarnation < m_self.incarnation;
    if (needs_no_refutation || m_self.state == member_state::left) {
        return;
    }
    m_self.incarnation = received.incarnation + 1;
    update_member(m_self, now, absl::ZeroDuration());
}

void membership::add_contacts(const std::vector<endpoint>& contacts, absl::Time now) {
    for (const endpoint& contact : contacts) {
        if (contact == m_self.address || std::ranges::find(m_contacts, contact) != m_contacts.end()) {
            continue;
        }
        if (m_contacts.size() >= m_settings.seeds.size() + max_contacts) {
            m_contacts.erase(m_contacts.begin() + static_cast<std::ptrdiff_t>(m_settings.seeds.size()));
        }
        m_contacts.push_back(contact);
        if (m_live.empty()) {
            m_next_seed_contact = std::min(m_next_seed_contact, now);
        }
    }
}

void membership::leave(absl::Time now) {
    m_self.state = member_state::left;
    update_member(m_self, now, absl::ZeroDuration());
}

void membership::reset(absl::Time now) {
    m_contacts = m_settings.seeds;
    std::erase(m_contacts, m_self.address);
    for (std::size_t index = 0; index < m_live.size() && m_contacts.size() < m_settings.seeds.size() + max_contacts;
         ++index) {
        m_contacts.push_back(m_live[index]);
    }
    m_table.clear();
    m_suspicions.clear();
    m_live.clear();
    m_live_position.clear();
    m_gone_members.clear();
    m_by_http_address.clear();
    m_probe.reset();
    m_seed_backoff = m_settings.join_retry_initial;
    m_next_seed_contact = now;
    update_member(m_self, now, absl::ZeroDuration());
}

void membership::update_member(member changed, absl::Time now, absl::Duration age) {
    if (const member* stored = find(changed.address);
        stored != nullptr && stored->http_address != changed.http_address) {
        m_by_http_address[stored->http_address].erase(changed.address);
    }
    if (!m_table.merge(changed, now, age)) {
        return;
    }
    update_indexes(changed, now);
    m_changes.push_back(std::move(changed));
}

void membership::update_indexes(const member& changed, absl::Time now) {
    m_by_http_address[changed.http_address].insert(changed.address);
    if (changed.address == m_self.address) {
        return;
    }
    set_live(changed.address, changed.state == member_state::alive || changed.state == member_state::suspected);
    // A member that has left may be back at the same address without knowing any peer.
    if (changed.state == member_state::dead || changed.state == member_state::left) {
        m_gone_members.insert(changed.address);
    } else {
        m_gone_members.erase(changed.address);
    }
    if (changed.state == member_state::suspected) {
        m_suspicions[changed.address] = {now + suspicion_time(), absl::InfiniteFuture()};
    } else {
        m_suspicions.erase(changed.address);
    }
}

void membership::set_live(const endpoint& address, bool is_live) {
    const auto found = m_live_position.find(address);
    if (is_live && found == m_live_position.end()) {
        m_live_position[address] = m_live.size();
        m_live.push_back(address);
    } else if (!is_live && found != m_live_position.end()) {
        m_live_position[m_live.back()] = found->second;
        m_live[found->second] = m_live.back();
        m_live.pop_back();
        m_live_position.erase(address);
    }
}

absl::Duration membership::suspicion_time() const {
    const double scale = std::log10(static_cast<double>(m_live.size()) + suspicion_log_offset);
    return m_settings.suspicion_multiplier * std::max(1.0, scale) * m_settings.probe_interval;
}

std::vector<member> membership::take_changes() {
    return std::exchange(m_changes, {});
}

std::vector<endpoint> membership::random_live(std::size_t count, absl::BitGenRef random) const {
    std::vector<endpoint> chosen;
    if (m_live.size() <= count) {
        chosen = m_live;
        std::shuffle(chosen.begin(), chosen.end(), random);
        return chosen;
    }
    while (chosen.size() < count) {
        const endpoint& candidate = m_live[absl::Uniform<std::size_t>(random, 0, m_live.size())];
        if (std::ranges::find(chosen, candidate) == chosen.end()) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

const member* membership::find(const endpoint& address) const {
    const auto* const stored = m_table.find(to_string(address));
    return stored == nullptr ? nullptr : &stored->record;
}

std::optional<absl::Time> membership::owner_dead_since(const endpoint& http_address) const {
    const auto found = m_by_http_address.find(http_address);
    if (found == m_by_http_address.end()) {
        return std::nullopt;
    }
    std::optional<absl::Time> latest;
    for (const endpoint& address : found->second) {
        // The index may still list members that the table has removed.
        if (const auto* const stored = m_table.find(to_string(address)); stored != nullptr) {
            latest = std::max(latest.value_or(absl::InfinitePast()), stored->tombstone_since);
        }
    }
    return latest;
}

} // namespace amaranthladder
