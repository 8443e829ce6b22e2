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
constexpr std::size_t max_relays = 1024;
// With 30% of datagrams lost, a probe of a live member fails in 22% of rounds without a retry, 11% with one and 3% with
// two (computed from the legs of the direct and the helped paths).
constexpr int max_probe_retries = 2;
constexpr std::size_t max_contacts = 16;
constexpr std::size_t seeds_per_contact = 3;
// Small meshes get a little more than one probe interval times the multiplier.
constexpr double suspicion_log_offset = 9.0;

double jitter(absl::BitGenRef random) {
    return absl::Uniform(random, 0.5, 1.5);
}

} // namespace

membership::membership(const peer_settings& settings, std::uint64_t incarnation)
    : m_settings(settings), m_self{settings.address, settings.http_address, settings.data_center, member_state::alive,
                                   incarnation},
      m_table(member_traits(), settings.dead_member_retention), m_contacts(settings.seeds),
      m_seed_backoff(settings.join_retry_first) {
    read_chart();
    std::erase(m_contacts, m_self.address);
    store(m_self, absl::InfinitePast(), absl::ZeroDuration());
}

void membership::read_chart() {
    constexpr std::array<std::string_view, event_count> event_names{
        "probe_failed", "suspicion_expired", "heard_alive", "heard_suspected", "heard_dead", "heard_left"};
    const state_chart chart = state_chart::embedded("member");
    for (std::size_t from = 0; from < state_count; ++from) {
        for (std::size_t happened = 0; happened < event_count; ++happened) {
            const auto target = chart.target(name(static_cast<member_state>(from)), event_names[happened]);
            for (std::size_t to = 0; target && to < state_count; ++to) {
                if (*target == name(static_cast<member_state>(to))) {
                    m_chart[from][happened] = static_cast<member_state>(to);
                }
            }
            if (target && !m_chart[from][happened]) {
                throw error(result_code::chart_unknown_state, "member: " + *target);
            }
        }
    }
}

std::optional<member_state> membership::next_state(member_state state, event happened) const {
    return m_chart[static_cast<std::size_t>(state)][static_cast<std::size_t>(happened)];
}

std::vector<probe_message> membership::tick(absl::Time now, absl::BitGenRef random) {
    std::vector<probe_message> out;
    note_pause(now);
    if (m_self.state == member_state::left) {
        return out;
    }
    expire_suspicions(now);
    expire_relays(now);
    m_table.expire(now);
    if (m_next_round == absl::InfinitePast()) {
        // A random phase, so that daemons started together do not probe in step.
        m_next_round = now + absl::Uniform(random, 0.0, 1.0) * m_settings.probe_interval;
        m_next_seed_contact = now + absl::Uniform(random, 0.0, 1.0) * m_settings.join_retry_first;
    }
    if (now >= m_next_round) {
        end_round(now, out);
        begin_round(now, random, out);
        m_next_round = std::max(m_next_round + m_settings.probe_interval, now + m_settings.probe_interval / 2);
    }
    ask_helpers(now, random, out);
    contact_seeds(now, random, out);
    return out;
}

void membership::note_pause(absl::Time now) {
    const absl::Duration gap = m_last_tick ? now - *m_last_tick : absl::ZeroDuration();
    m_last_tick = now;
    m_last_pause = absl::ZeroDuration();
    if (gap <= m_settings.probe_timeout) {
        return;
    }
    m_last_pause = gap;
    m_is_round_late = true;
    // Refutations that arrived during the pause are still in the socket: the suspected get their full time.
    for (auto& [address, suspected] : m_suspicions) {
        // Datagrams that waited in the socket may have started suspicions after the pause: these have full time
        // already.
        suspected.deadline = std::min(suspected.deadline + gap, now + suspicion_time());
    }
}

void membership::end_round(absl::Time now, std::vector<probe_message>& out) {
    const bool is_failed = m_probe && !m_probe->is_acked && !m_is_round_late;
    if (is_failed) {
        if (const member* target = find(m_probe->target); target != nullptr) {
            if (const auto state = next_state(target->state, event::probe_failed)) {
                member changed = *target;
                changed.state = *state;
                store(changed, now, absl::ZeroDuration());
                // Datagrams to a suspected member carry the suspicion, so it can refute at once.
                out.push_back({changed.address, message_kind::ping, m_next_sequence++, {}});
            }
        }
    }
    m_probe.reset();
    m_is_round_late = false;
}

void membership::begin_round(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out) {
    if (++m_round % rounds_per_cleanup == 0) {
        forget_expired();
    }
    const bool is_preferred_round = m_round % 2 == 0;
    std::optional<endpoint> target = is_preferred_round ? next_preferred() : std::nullopt;
    if (!target) {
        target = next_target(random);
    }
    if (target) {
        m_probe = probe{*target, m_next_sequence++, now, false, 0};
        out.push_back({*target, message_kind::ping, m_probe->sequence, {}});
    }
    if (!m_dead.empty() && m_round % static_cast<std::uint64_t>(m_settings.dead_probe_every) == 0) {
        auto chosen = m_dead.begin();
        std::advance(chosen, absl::Uniform<std::size_t>(random, 0, m_dead.size()));
        out.push_back({*chosen, message_kind::ping, m_next_sequence++, {}});
    }
}

void membership::forget_expired() {
    std::erase_if(m_dead, [&](const endpoint& address) { return find(address) == nullptr; });
    for (auto& [http_address, addresses] : m_by_http_address) {
        std::erase_if(addresses, [&](const endpoint& address) { return find(address) == nullptr; });
    }
    std::erase_if(m_by_http_address, [](const auto& row) { return row.second.empty(); });
}

std::optional<endpoint> membership::next_preferred() {
    for (std::size_t tried = 0; tried < m_preferred.size(); ++tried) {
        const endpoint& candidate = m_preferred[m_next_preferred++ % m_preferred.size()];
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

void membership::ask_helpers(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out) {
    if (!m_probe || m_probe->is_acked || m_probe->retries == max_probe_retries ||
        now < m_probe->sent + (m_probe->retries + 1) * m_settings.probe_timeout) {
        return;
    }
    ++m_probe->retries;
    out.push_back({m_probe->target, message_kind::ping, m_probe->sequence, {}});
    for (const endpoint& helper : helpers(m_probe->target, random)) {
        out.push_back({helper, message_kind::ping_req, m_probe->sequence, m_probe->target});
    }
}

std::vector<endpoint> membership::helpers(const endpoint& target, absl::BitGenRef random) const {
    const auto wanted = static_cast<std::size_t>(m_settings.probe_helpers);
    std::vector<endpoint> chosen = random_live(3 * wanted, random);
    std::erase(chosen, target);
    // One helper from the target's own data centre tells a cut between data centres from a dead member.
    const member* const probed = find(target);
    const auto near = std::ranges::find_if(chosen, [&](const endpoint& helper) {
        return probed != nullptr && find(helper)->data_center == probed->data_center;
    });
    if (near != chosen.end()) {
        std::iter_swap(chosen.begin(), near);
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
    unreachable.resize(std::min(unreachable.size(), is_alone ? seeds_per_contact : 1));
    for (const endpoint& seed : unreachable) {
        out.push_back({seed, message_kind::ping, m_next_sequence++, {}});
    }
    m_seed_backoff = is_alone ? std::min(2 * m_seed_backoff, m_settings.join_retry_cap) : m_settings.join_retry_cap;
    m_next_seed_contact = now + jitter(random) * m_seed_backoff;
}

void membership::expire_suspicions(absl::Time now) {
    std::vector<std::pair<endpoint, absl::Time>> expired;
    for (const auto& [address, suspected] : m_suspicions) {
        if (suspected.deadline <= now) {
            expired.emplace_back(address, std::min(now, suspected.heard_dead_since));
        }
    }
    for (const auto& [address, dead_since] : expired) {
        member changed = *find(address);
        changed.state = next_state(changed.state, event::suspicion_expired).value_or(changed.state);
        store(changed, now, now - dead_since);
    }
}

void membership::expire_relays(absl::Time now) {
    // Sequence numbers grow with time, so the oldest relay is the first.
    while (!m_relays.empty() && m_relays.begin()->second.expires <= now) {
        m_relays.erase(m_relays.begin());
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
    } else if (message.kind == message_kind::ping_req && m_relays.size() < max_relays &&
               message.target != m_self.address) {
        m_relays[m_next_sequence] = {sender, message.sequence, message.target, now + m_settings.probe_interval};
        out.push_back({message.target, message_kind::ping, m_next_sequence++, {}});
    } else if (message.kind == message_kind::ack) {
        const endpoint& answered = message.target.address.empty() ? sender : message.target;
        if (m_probe && m_probe->sequence == message.sequence && m_probe->target == answered) {
            m_probe->is_acked = true;
        }
        const auto relayed = m_relays.find(message.sequence);
        if (relayed != m_relays.end() && relayed->second.target == answered) {
            out.push_back({relayed->second.origin, message_kind::ack, relayed->second.origin_sequence, answered});
            m_relays.erase(relayed);
        }
    }
    return out;
}

void membership::merge(const member& heard, absl::Time now, absl::Duration age) {
    if (heard.address == m_self.address) {
        hear_about_self(heard, now);
        return;
    }
    const member* const held = find(heard.address);
    if (held == nullptr) {
        store(heard, now, age);
        return;
    }
    if (std::tie(heard.incarnation, heard.state) <= std::tie(held->incarnation, held->state)) {
        return;
    }
    constexpr std::array events{event::heard_alive, event::heard_suspected, event::heard_dead, event::heard_left};
    const auto state = next_state(held->state, events[static_cast<std::size_t>(heard.state)]);
    if (state || heard.incarnation != held->incarnation) {
        member changed = heard;
        changed.state = state.value_or(held->state);
        store(changed, now, age);
    }
    const auto suspected = m_suspicions.find(heard.address);
    if (heard.state == member_state::dead && suspected != m_suspicions.end()) {
        suspected->second.heard_dead_since = std::min(suspected->second.heard_dead_since, now - age);
    }
}

void membership::hear_about_self(const member& heard, absl::Time now) {
    const bool is_current = heard == m_self || heard.incarnation < m_self.incarnation;
    if (is_current || m_self.state == member_state::left) {
        return;
    }
    m_self.incarnation = heard.incarnation + 1;
    store(m_self, now, absl::ZeroDuration());
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
    store(m_self, now, absl::ZeroDuration());
}

void membership::reset(absl::Time now) {
    m_contacts = m_settings.seeds;
    std::erase(m_contacts, m_self.address);
    for (std::size_t at = 0; at < m_live.size() && m_contacts.size() < m_settings.seeds.size() + max_contacts; ++at) {
        m_contacts.push_back(m_live[at]);
    }
    m_table.clear();
    m_suspicions.clear();
    m_live.clear();
    m_live_position.clear();
    m_dead.clear();
    m_by_http_address.clear();
    m_probe.reset();
    m_seed_backoff = m_settings.join_retry_first;
    m_next_seed_contact = now;
    store(m_self, now, absl::ZeroDuration());
}

void membership::store(member changed, absl::Time now, absl::Duration age) {
    if (const member* held = find(changed.address); held != nullptr && held->http_address != changed.http_address) {
        m_by_http_address[held->http_address].erase(changed.address);
    }
    if (!m_table.merge(changed, now, age)) {
        return;
    }
    index_state(changed, now);
    m_changes.push_back(std::move(changed));
}

void membership::index_state(const member& changed, absl::Time now) {
    m_by_http_address[changed.http_address].insert(changed.address);
    if (changed.address == m_self.address) {
        return;
    }
    set_live(changed.address, changed.state == member_state::alive || changed.state == member_state::suspected);
    if (changed.state == member_state::dead) {
        m_dead.insert(changed.address);
    } else {
        m_dead.erase(changed.address);
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
    const auto* const held = m_table.find(to_string(address));
    return held == nullptr ? nullptr : &held->record;
}

std::optional<absl::Time> membership::owner_dead_since(const endpoint& http_address) const {
    const auto found = m_by_http_address.find(http_address);
    if (found == m_by_http_address.end()) {
        return std::nullopt;
    }
    std::optional<absl::Time> latest;
    for (const endpoint& address : found->second) {
        // Members that were forgotten are not in the table any more.
        if (const auto* const held = m_table.find(to_string(address)); held != nullptr) {
            latest = std::max(latest.value_or(absl::InfinitePast()), held->tombstone_since);
        }
    }
    return latest;
}

} // namespace amaranthladder
