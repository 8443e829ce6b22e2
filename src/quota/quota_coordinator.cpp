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

} // namespace

quota_coordinator::quota_coordinator(const quota_limits& limits, const quota_view& view, const reach_estimator& reach)
    : m_limits(limits), m_view(view), m_reach(reach) {}

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
        m_updated = now;
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
    }
}

void quota_coordinator::tick(absl::Time now) {
    if (!m_settled_at) {
        return;
    }
    const std::size_t others = m_view.alive() - 1;
    const bool is_reach_known = is_in_use(now) && now - m_in_use_since > reach_start;
    double reach = m_reach.estimate(now, is_reach_known ? std::min(others, min_reach_samples) : 0,
                                    [this](const endpoint& member) { return m_view.is_alive(member); });
    reach = reach >= full_reach ? 1 : reach;
    const double target = (1 + reach * static_cast<double>(others)) / static_cast<double>(m_view.size());
    const double risen = m_fraction + quota_bucket::rise_per_second * absl::ToDoubleSeconds(now - m_updated);
    m_fraction = std::min({1.0, target, risen});
    m_updated = now;
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
    if (!m_settled_at || m_configuration == nullptr) {
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
    tenant_state& state = state_of(found->second, now);
    update_role(ask.tenant, state, now);
    state.refused *= std::exp(-std::max(0.0, absl::ToDoubleSeconds(now - state.asked_at)));
    state.asked_at = now;
    count_asker(state, ask, from, now);
    state.bucket.advance(served_fraction(state, now), now);
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
    return result;
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
        const bool is_in_charge =
            std::ranges::all_of(m_view.rivals(limited.name), [&](const auto& other) { return is_out(other, now); });
        found = std::make_unique<tenant_state>(
            tenant_state{quota_bucket(make_quota_allowance(limited.rate_per_second, limited.burst, m_limits),
                                      is_in_charge ? m_fraction : 0, in_charge_since(), now),
                         std::nullopt,
                         {},
                         {},
                         is_in_charge,
                         absl::InfinitePast(),
                         0});
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
    return std::max(*m_settled_at, m_view.last_loss());
}

bool quota_coordinator::is_out(const quota_view::rival& other, absl::Time now) const {
    // A suspicion alone is often false; this daemon asks the suspected one itself.
    return (other.state == member_state::dead || other.state == member_state::suspected) &&
           !m_reach.is_in_contact(other.address, now);
}

void quota_coordinator::update_role(const std::string& name, tenant_state& state, absl::Time now) {
    if (state.view_version != m_view.version()) {
        state.rivals = m_view.rivals(name);
        state.view_version = m_view.version();
    }
    const bool is_in_charge = std::ranges::all_of(state.rivals, [&](const auto& other) { return is_out(other, now); });
    if (is_in_charge == state.is_in_charge) {
        return;
    }
    state.is_in_charge = is_in_charge;
    ++m_counters.coordinator_changes;
    if (is_in_charge && now - state.asked_at > asker_memory) {
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
    // The entries that use other daemons are a part of those that this daemon sees.
    return state.is_in_charge ? std::max(0.0, m_fraction - share) : std::min(m_fraction, share);
}

} // namespace amaranthladder
