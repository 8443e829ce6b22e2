#include "quota/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthladder {

namespace {

/// Time for which an ask counts as the use of this daemon by the entry.
constexpr absl::Duration asker_memory = absl::Seconds(1);
/// Part of a tenant's limit that is its demand; tells how many entries ask if all use the same daemon. With 0.5, the
/// entries of a tenant over its quota counted twice.
constexpr double usual_demand = 1;
/// Asks of an entry for a busy tenant within asker_memory.
constexpr double max_asks_per_entry = 3;
/// Samples of the reach below which the missing ones count as failed.
constexpr std::size_t min_reach_samples = 4;
/// Above this, the membership alone is used: single lost datagrams must not reduce the fraction.
constexpr double full_reach = 0.9;
/// Time from the first ask until the reach must be known; it is not measured while nobody asks.
constexpr absl::Duration reach_start = absl::Milliseconds(1300);
/// Role changes kept for the log until they are taken.
constexpr std::size_t max_role_changes = 16;
/// A daemon with more members above it is asked only by an entry with a wrong view, or by mistake.
constexpr std::size_t max_rivals = 8;
/// Daemons probed at once; bounds the datagrams while many members are lost.
constexpr std::size_t max_rival_probes = 16;
constexpr absl::Duration max_retry = absl::Seconds(10);
/// Time after joining in which other daemons may still be in charge: they count this one as new for
/// quota_view::newcomer_time, 5 s, and learn of it by gossip in a second.
constexpr absl::Duration claim_time = absl::Seconds(6);
/// The daemon in charge is among those that rank next, unless several of them have joined at once.
constexpr std::size_t claimed_daemons = 3;
constexpr absl::Duration claim_interval = absl::Milliseconds(100);
/// Longest wait for the answers to a claim; the daemon in charge grants meanwhile. Hosts stall for up to 0.3 s.
constexpr absl::Duration max_claim_time = absl::Seconds(1);
/// Time for which a handover counts. The view of the members has it by then.
constexpr absl::Duration handover_memory = absl::Seconds(10);
/// Members above this daemon that are told what it grants; with more of them it is hardly asked.
constexpr std::size_t max_spent_reports = 3;
constexpr int handover_repetitions = 2;
/// Answers kept for repeated asks.
constexpr absl::Duration answer_memory = absl::Seconds(1);
constexpr std::size_t max_recent_answers = 10000;
/// Reports kept for the log until they are taken.
constexpr std::size_t max_none_reports = 4;

} // namespace

quota_coordinator::quota_coordinator(const quota_limits& limits, const quota_view& view, const reach_estimator& reach,
                                     std::uint64_t first_id)
    : m_limits(limits), m_view(view), m_reach(reach), m_next_transfer(first_id) {}

void quota_coordinator::set_configuration(std::shared_ptr<const intended_state> configuration) {
    m_configuration = std::move(configuration);
    absl::erase_if(m_tenants, [this](const auto& entry) {
        const auto found = m_configuration->tenants.find(entry.first);
        return found == m_configuration->tenants.end() || !found->second.has_quota();
    });
    for (auto& [name, state] : m_tenants) {
        const tenant& limited = m_configuration->tenants.at(name);
        state->bucket.set_allowance(make_quota_allowance(limited.rate_per_second, limited.burst, m_limits));
    }
}

void quota_coordinator::settle(absl::Time now) {
    if (!m_settled_at) {
        m_settled_at = now;
    }
}

void quota_coordinator::on_pause(absl::Time now) {
    m_fraction = 0;
    m_updated = now;
    if (m_settled_at) {
        m_settled_at = now;
    }
    for (auto& [name, state] : m_tenants) {
        state->bucket.clear(now);
        state->askers.clear();
        state->claimed_tokens = 0;
    }
}

void quota_coordinator::join(absl::Time now) {
    m_joined_at = m_joined_at.value_or(now);
}

void quota_coordinator::tick(absl::Time now) {
    forget_old(now);
    if (!m_settled_at) {
        return;
    }
    for (auto& [name, state] : m_tenants) {
        if (state->claim != tenant_state::claim_state::done) {
            run_claim(name, *state, now);
        }
    }
    if (!m_handed_over.empty() && now - m_handed_over_at >= claim_interval) {
        m_handed_over_at = now;
        for (handed_over& each : m_handed_over) {
            m_transfers.push_back({each.to, each.transfer});
            --each.left;
        }
        std::erase_if(m_handed_over, [](const handed_over& each) { return each.left <= 0; });
    }
    const std::size_t others = m_view.alive() - 1;
    const bool is_reach_known = is_in_use(now) && now - m_in_use_since > reach_start;
    double reach = m_reach.estimate(now, is_reach_known ? std::min(others, min_reach_samples) : 0,
                                    [this](const endpoint& member) { return m_view.is_alive(member); });
    reach = reach >= full_reach ? 1 : reach;
    const double target = (1 + reach * static_cast<double>(others)) / static_cast<double>(m_view.size());
    // At first nobody else can have counted on this daemon's silence: its buckets are empty, and it takes over those of
    // the daemons that grant.
    const double risen = m_updated == absl::InfinitePast()
                             ? 1
                             : m_fraction + quota_bucket::rise_per_second * absl::ToDoubleSeconds(now - m_updated);
    m_fraction = std::min({1.0, target, risen});
    m_updated = now;
}

void quota_coordinator::leave(absl::Time now) {
    if (m_is_leaving) {
        return;
    }
    for (auto& [name, state] : m_tenants) {
        update_role(name, *state, now);
        const std::optional<endpoint> next = m_view.successor(name, now);
        if (!state->is_in_charge || !next) {
            continue;
        }
        const auto tokens = static_cast<std::uint32_t>(std::max(0.0, state->bucket.tokens()));
        const quota_transfer transfer{quota_transfer::kind::hand_over, m_next_transfer++, name, tokens};
        m_transfers.push_back({*next, transfer});
        m_handed_over.push_back({*next, transfer, handover_repetitions});
        state->bucket.clear(now);
        state->yielded_to = next;
        state->yielded_at = now;
        state->is_in_charge = false;
    }
    m_is_leaving = true;
    m_handed_over_at = now;
}

quota_answer quota_coordinator::answer(const quota_ask& ask, const endpoint& from, absl::Time now) {
    quota_answer result;
    result.id = ask.id;
    if (ask.tenant.empty()) {
        return result;
    }
    ++m_counters.asks;
    if (!is_in_use(now)) {
        m_in_use_since = now;
    }
    m_last_ask = now;
    if (!m_joined_at || m_configuration == nullptr) {
        ++m_counters.refused_unknown;
        return result;
    }
    const auto found = m_configuration->tenants.find(ask.tenant);
    if (found == m_configuration->tenants.end() || !found->second.has_quota()) {
        // The entry has another version of the configuration; a new limit applies once all daemons have it.
        result.status = quota_status::granted;
        result.granted = ask.wanted;
        return result;
    }
    const auto recent = m_recent.find({from, ask.id});
    if (recent != m_recent.end()) {
        return recent->second.answer;
    }
    tenant_state& state = state_of(found->second, now);
    update_role(ask.tenant, state, now);
    if (const std::optional<endpoint> other = moved_to(ask, state, now)) {
        result.status = quota_status::moved;
        result.moved_to = *other;
        return result;
    }
    if (!m_settled_at || m_is_leaving) {
        ++m_counters.refused_unknown;
        return result;
    }
    result = answer_wanted(ask, state, now);
    if (result.granted > 0 && m_recent.size() < max_recent_answers) {
        m_recent[{from, ask.id}] = {now, result};
        m_recent_order.emplace_back(from, ask.id);
        if (!state.is_in_charge) {
            report_spent(ask.tenant, state, result.granted);
        }
    }
    count_asker(state, ask, from, now);
    return result;
}

quota_answer quota_coordinator::answer_wanted(const quota_ask& ask, tenant_state& state, absl::Time now) {
    quota_answer result;
    result.id = ask.id;
    state.refused *= std::exp(-std::max(0.0, absl::ToDoubleSeconds(now - state.asked_at)));
    state.asked_at = now;
    const double served = served_fraction(state, now);
    state.bucket.advance(served, now);
    if (ask.wanted == 0) {
        return result;
    }
    result.granted = state.bucket.take(ask.wanted);
    if (result.granted == 0 && !state.is_in_charge && may_use_reserve(state, now)) {
        result.granted = state.bucket.take_reserve(now);
        m_counters.reserve_granted += result.granted;
    }
    m_counters.granted += result.granted;
    if (result.granted > 0) {
        result.status = quota_status::granted;
        state.refused += ask.wanted - result.granted;
        return result;
    }
    if (!state.is_in_charge) {
        ++m_counters.refused_unknown;
        return result;
    }
    ++m_counters.refused_none;
    state.refused += ask.wanted;
    result.status = quota_status::none;
    result.retry_ms = static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(std::min(max_retry, state.bucket.time_until(std::max(1.0, state.refused)))));
    if (m_none_reports.size() < max_none_reports) {
        m_none_reports.push_back({ask.tenant, state.bucket.allowance().rate, m_fraction, state.bucket.fraction(),
                                  state.askers.size(), state.bucket.tokens(), ask.wanted});
    }
    return result;
}

std::optional<endpoint> quota_coordinator::moved_to(const quota_ask& ask, const tenant_state& state,
                                                    absl::Time now) const {
    if (ask.wanted == 0 || ask.fallback_ms > 0 || state.is_in_charge) {
        return std::nullopt;
    }
    if (has_yielded(state, now)) {
        return state.yielded_to;
    }
    return m_is_leaving || must_claim(ask.tenant, state, now) ? m_view.successor(ask.tenant, now) : std::nullopt;
}

void quota_coordinator::receive(const quota_transfer& transfer, const endpoint& from, absl::Time now) {
    if (!m_joined_at || m_configuration == nullptr || is_repeated(from, transfer.id)) {
        return;
    }
    const auto found = m_configuration->tenants.find(transfer.tenant);
    if (found == m_configuration->tenants.end() || !found->second.has_quota()) {
        return;
    }
    tenant_state& state = state_of(found->second, now);
    if (transfer.what != quota_transfer::kind::claim && m_recent.size() < max_recent_answers) {
        m_recent[{from, transfer.id}] = {now, {}};
        m_recent_order.emplace_back(from, transfer.id);
    }
    switch (transfer.what) {
    case quota_transfer::kind::spent:
        update_role(transfer.tenant, state, now);
        if (state.is_in_charge) {
            state.bucket.subtract(transfer.tokens);
        }
        break;
    case quota_transfer::kind::claim: {
        std::uint32_t tokens = 0;
        if (m_view.is_above(from, transfer.tenant)) {
            update_role(transfer.tenant, state, now);
            if (state.is_in_charge) {
                state.bucket.advance(served_fraction(state, now), now);
                tokens = static_cast<std::uint32_t>(std::max(0.0, state.bucket.tokens()));
            }
            state.bucket.clear(now);
            state.yielded_to = from;
            state.yielded_at = now;
            update_role(transfer.tenant, state, now);
        }
        m_transfers.push_back({from, {quota_transfer::kind::yielded, m_next_transfer++, transfer.tenant, tokens}});
        break;
    }
    case quota_transfer::kind::yielded:
        if (std::erase(state.claim_open, from) > 0) {
            state.claimed_tokens += transfer.tokens;
            run_claim(transfer.tenant, state, now);
        }
        break;
    case quota_transfer::kind::hand_over:
        if (m_is_leaving) {
            forward(transfer, state, from, now);
        } else if (m_settled_at) {
            std::erase_if(state.leaving, [now](const auto& entry) { return now - entry.second > handover_memory; });
            state.leaving[from] = now;
            state.yielded_to.reset();
            take_over(transfer.tenant, state, transfer.tokens, now);
        }
        break;
    }
}

void quota_coordinator::report_spent(const std::string& name, const tenant_state& state, std::uint32_t tokens) {
    const quota_transfer transfer{quota_transfer::kind::spent, m_next_transfer++, name, tokens};
    outgoing_transfer to_coordinator; // Not as one expression, for which GCC 12 reports a false uninitialized use.
    to_coordinator.transfer = transfer;
    m_transfers.push_back(std::move(to_coordinator));
    // On this side of a partition another one may be in charge than the first-ranked, which this daemon still suspects.
    std::size_t sent = 0;
    for (const quota_view::rival& other : state.rivals) {
        if (other.state != member_state::dead && sent < max_spent_reports) {
            ++sent;
            m_transfers.push_back({other.address, transfer});
        }
    }
}

void quota_coordinator::forward(const quota_transfer& transfer, tenant_state& state, const endpoint& from,
                                absl::Time now) {
    for (const endpoint& other : m_view.best_others(transfer.tenant, claimed_daemons)) {
        if (other != from) {
            quota_transfer forwarded = transfer;
            forwarded.id = m_next_transfer++;
            m_transfers.push_back({other, forwarded});
            state.yielded_to = other;
            state.yielded_at = now;
            return;
        }
    }
}

bool quota_coordinator::must_claim(const std::string& name, const tenant_state& state, absl::Time now) const {
    return state.claim != tenant_state::claim_state::done && now - *m_joined_at <= claim_time &&
           std::ranges::all_of(m_view.rivals(name),
                               [&](const auto& other) { return is_out(other, now) || is_replaced(state, other, now); });
}

void quota_coordinator::run_claim(const std::string& name, tenant_state& state, absl::Time now) {
    if (!must_claim(name, state, now)) {
        // Another one ranks first, or this daemon has run for long enough.
        if (now - *m_joined_at > claim_time) {
            state.claim = tenant_state::claim_state::done;
        }
        return;
    }
    if (state.claim == tenant_state::claim_state::needed) {
        state.claim = tenant_state::claim_state::sent;
        state.claim_started = now;
        state.claim_open = m_view.best_others(name, claimed_daemons);
    }
    std::erase_if(state.claim_open, [this](const endpoint& other) { return !m_view.is_alive(other); });
    if (state.claim_open.empty() || now - state.claim_started > max_claim_time) {
        state.claim = tenant_state::claim_state::done;
        take_over(name, state, std::exchange(state.claimed_tokens, 0), now);
        return;
    }
    if (now - state.claim_repeated >= claim_interval) {
        state.claim_repeated = now;
        for (const endpoint& other : state.claim_open) {
            m_transfers.push_back({other, {quota_transfer::kind::claim, m_next_transfer++, name, 0}});
        }
    }
}

void quota_coordinator::take_over(const std::string& name, tenant_state& state, double tokens, absl::Time now) {
    update_role(name, state, now);
    if (state.is_in_charge) {
        state.bucket.take_over(m_fraction, tokens, now);
    }
}

void quota_coordinator::forget_old(absl::Time now) {
    while (!m_recent_order.empty()) {
        const auto found = m_recent.find(m_recent_order.front());
        if (found != m_recent.end() && now - found->second.at <= answer_memory) {
            return;
        }
        if (found != m_recent.end()) {
            m_recent.erase(found);
        }
        m_recent_order.pop_front();
    }
}

bool quota_coordinator::is_replaced(const tenant_state& state, const quota_view::rival& other, absl::Time now) const {
    const auto left = state.leaving.find(other.address);
    if (left != state.leaving.end() && now - left->second <= handover_memory) {
        return true;
    }
    return now - other.joined_at <= quota_view::newcomer_time;
}

bool quota_coordinator::has_yielded(const tenant_state& state, absl::Time now) const {
    return state.yielded_to && now - state.yielded_at <= handover_memory && m_view.is_member(*state.yielded_to) &&
           m_view.is_alive(*state.yielded_to);
}

std::vector<endpoint> quota_coordinator::rivals_to_probe(absl::Time now) {
    std::vector<endpoint> result;
    for (const auto& [name, state] : m_tenants) {
        if (now - state->asked_at > asker_memory || state->rivals.size() > max_rivals) {
            continue;
        }
        for (const quota_view::rival& other : state->rivals) {
            if (result.size() < max_rival_probes && std::ranges::find(result, other.address) == result.end()) {
                result.push_back(other.address);
            }
        }
    }
    return result;
}

std::vector<quota_role_change> quota_coordinator::take_role_changes() {
    return std::exchange(m_role_changes, {});
}

std::size_t quota_coordinator::coordinated() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_tenants, [](const auto& entry) { return entry.second->is_in_charge; }));
}

quota_coordinator::tenant_state& quota_coordinator::state_of(const tenant& limited, absl::Time now) {
    auto& found = m_tenants[limited.name];
    if (found == nullptr) {
        // Nobody asked before. If this daemon is in charge, it has been so since the last loss of a member at least.
        const bool is_new = now - *m_joined_at <= claim_time;
        const bool is_in_charge =
            !is_new && !m_is_leaving &&
            std::ranges::all_of(m_view.rivals(limited.name), [&](const auto& other) { return is_out(other, now); });
        found = std::make_unique<tenant_state>(
            quota_bucket(make_quota_allowance(limited.rate_per_second, limited.burst, m_limits),
                         is_in_charge ? m_fraction : 0, in_charge_since(), now));
        found->is_in_charge = is_in_charge;
        found->claim = is_new ? tenant_state::claim_state::needed : tenant_state::claim_state::done;
    }
    return *found;
}

void quota_coordinator::count_asker(tenant_state& state, const quota_ask& ask, const endpoint& from, absl::Time now) {
    const absl::Duration fallback = std::min(absl::Milliseconds(ask.fallback_ms), asker_memory);
    if (!state.is_in_charge && ask.wanted == 0) {
        // The entry uses another daemon's tokens from now on.
        state.askers.erase(from);
    } else if (!state.is_in_charge) {
        // Without a fallback time, the entry takes this daemon for the coordinator.
        state.askers[from] = now + (ask.fallback_ms == 0 ? asker_memory : fallback);
    } else if (ask.wanted == 0) {
        // The entry uses another daemon's tokens for now, which grants them in place of this one.
        state.askers[from] = now + fallback;
    }
}

bool quota_coordinator::may_use_reserve(const tenant_state& state, absl::Time now) const {
    return std::ranges::count_if(state.rivals, [&](const auto& other) { return !is_out(other, now); }) <= 1;
}

absl::Time quota_coordinator::in_charge_since() const {
    return std::max(m_settled_at.value_or(absl::InfiniteFuture()), m_view.last_loss());
}

bool quota_coordinator::is_out(const quota_view::rival& other, absl::Time now) const {
    // A suspicion alone is often false; this daemon asks the suspected one itself.
    return (other.state == member_state::dead || other.state == member_state::suspected) &&
           !m_reach.is_in_contact(other.address, now);
}

void quota_coordinator::update_role(const std::string& name, tenant_state& state, absl::Time now) {
    bool is_planned = false;
    if (state.view_version != m_view.version()) {
        std::vector<quota_view::rival> rivals = m_view.rivals(name);
        // A member that disappears while it counts as alive has left, and grants no more.
        is_planned = state.view_version && std::ranges::all_of(state.rivals, [&](const quota_view::rival& before) {
                         return before.state != member_state::alive ||
                                std::ranges::find(rivals, before.address, &quota_view::rival::address) == rivals.end();
                     });
        state.rivals = std::move(rivals);
        state.view_version = m_view.version();
    }
    const bool is_in_charge = m_settled_at && !m_is_leaving && state.claim == tenant_state::claim_state::done &&
                              !has_yielded(state, now) && std::ranges::all_of(state.rivals, [&](const auto& other) {
                                  return is_out(other, now) || is_replaced(state, other, now);
                              });
    if (is_in_charge == state.is_in_charge) {
        return;
    }
    state.is_in_charge = is_in_charge;
    ++m_counters.coordinator_changes;
    if (is_in_charge && is_planned) {
        state.bucket.take_over(m_fraction, 0, now);
    } else if (is_in_charge && now - state.asked_at > asker_memory) {
        // Without recent asks the fraction of the bucket is old. Since the last loss nobody else was in charge.
        state.bucket = quota_bucket(state.bucket.allowance(), m_fraction, in_charge_since(), now);
    }
    state.askers.clear();
    if (m_role_changes.size() < max_role_changes) {
        m_role_changes.push_back({name, is_in_charge, m_fraction});
    }
}

double quota_coordinator::served_fraction(tenant_state& state, absl::Time now) const {
    std::erase_if(state.askers, [now](const auto& entry) { return entry.second <= now; });
    // Most entries do not ask within that time for a tenant with little demand, so the number that asked is compared
    // with the number that would have asked if all entries used the same daemon.
    const auto size = static_cast<double>(m_view.size());
    const double asks = state.bucket.allowance().rate * usual_demand * absl::ToDoubleSeconds(asker_memory) / size;
    const double expected = size * (1 - std::exp(-std::min(asks, max_asks_per_entry)));
    const double share = std::min(1.0, static_cast<double>(state.askers.size()) / std::max(1.0, expected));
    // The entries that use other daemons are a part of those that this daemon sees. What they get there is subtracted
    // from its bucket when it is reported.
    return state.is_in_charge ? m_fraction : std::min(m_fraction, share);
}

} // namespace amaranthladder
