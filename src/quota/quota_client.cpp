#include "quota/quota_client.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

/// Time in which a batch of tokens is used. Longer ones need fewer messages, but their last tokens expire unused.
constexpr double batch_seconds = 0.5;
/// Tokens in one ask at most; bounds what a lost answer takes from the quota.
constexpr double max_batch = 1000;
/// Time constant of the demand estimate.
constexpr double demand_seconds = 1;
/// Below this part of a batch, the next one is asked for, so that requests need not wait.
constexpr double refill_share = 0.4;
/// A host with a tenth of a core stalls for up to 0.1 s, most for less. Requests lose no value up to an eighth of their
/// target latency, 125 ms for the shortest target of the deployment with quotas. With 70 ms, entries left coordinators
/// that were only slow.
constexpr absl::Duration answer_timeout = absl::Milliseconds(125);
/// Time until an ask is repeated with the same number, since a datagram may be lost.
constexpr absl::Duration repeat_time = absl::Milliseconds(75);
/// Longest wait of a request: a late answer is worth more than a refusal.
constexpr absl::Duration max_wait = absl::Milliseconds(300);
/// Time between two asks while no daemon can decide.
constexpr absl::Duration retry_interval = absl::Milliseconds(75);
/// A longer time between two events of this process is a stall, in which answers may have come unread. Longer than the
/// tick interval with an open ask.
constexpr absl::Duration max_event_gap = absl::Milliseconds(30);
/// Time for which the word of another daemon on who keeps a bucket holds.
constexpr absl::Duration moved_memory = quota_view::newcomer_time;
/// Daemons that point at each other do so until the message between them arrives.
constexpr int max_moves = 3;
/// Time for which an entry stays with the second-ranked daemon. At least as long as that one counts the entry as its
/// own, so that an entry is not counted by two daemons.
constexpr absl::Duration avoid_time = absl::Seconds(1);
/// Time after that in which the entry looks whether the coordinator still is silent, before it asks it again.
constexpr absl::Duration silence_check_time = absl::Seconds(4);
/// After the answer "none" an entry refuses requests without asking for at most this time. Bounds the messages about a
/// tenant far over its quota.
constexpr absl::Duration min_refusal_time = absl::Milliseconds(50);
constexpr absl::Duration max_refusal_time = absl::Milliseconds(300);

} // namespace

quota_client::quota_client(const quota_view& view, const reach_estimator& reach, std::uint64_t first_id)
    : m_view(view), m_reach(reach), m_next_id(first_id) {}

quota_verdict quota_client::acquire(const std::string& tenant, std::uint64_t waiter, absl::Time now) {
    advance(now);
    tenant_state& state = m_tenants[tenant];
    update_demand(state, now);
    if (usable_tokens(state, now) > 0) {
        tokens& oldest = state.stock.front();
        --oldest.count;
        ++m_counters.granted;
        const quota_verdict result{quota_verdict::kind::run, oldest.expires, absl::ZeroDuration()};
        ask_if_needed(tenant, state, now);
        return result;
    }
    if (now < state.refused_until) {
        return make_refusal(state, quota_verdict::kind::refused_over, now);
    }
    state.waiters.push_back({waiter, m_run_time});
    ++m_counters.waited;
    ask_if_needed(tenant, state, now);
    return {quota_verdict::kind::wait, now, absl::ZeroDuration()};
}

void quota_client::cancel(const std::string& tenant, std::uint64_t waiter) {
    const auto found = m_tenants.find(tenant);
    if (found != m_tenants.end()) {
        std::erase_if(found->second.waiters, [waiter](const waiting& entry) { return entry.id == waiter; });
    }
}

void quota_client::give_back(const std::string& tenant, absl::Time token_expires, absl::Time now) {
    const auto found = m_tenants.find(tenant);
    if (found == m_tenants.end() || token_expires <= now) {
        return;
    }
    auto& stock = found->second.stock;
    const auto position = std::ranges::lower_bound(stock, token_expires, {}, &tokens::expires);
    stock.insert(position, {1, token_expires});
    serve_waiters(found->second, now);
}

void quota_client::receive(const quota_answer& answer, absl::Time now) {
    advance(now);
    const auto found = m_asks.find(answer.id);
    if (found == m_asks.end()) {
        return;
    }
    open_ask ended = std::move(found->second);
    m_asks.erase(found);
    const auto known = m_tenants.find(ended.tenant);
    if (known == m_tenants.end()) {
        return;
    }
    tenant_state& state = known->second;
    close(state, ended);
    const absl::Time expires = ended.sent + token_lifetime;
    if (answer.granted > 0 && expires > now) {
        const auto position = std::ranges::lower_bound(state.stock, expires, {}, &tokens::expires);
        state.stock.insert(position, {std::min(answer.granted, ended.wanted), expires});
        serve_waiters(state, now);
    }
    const bool is_decided = answer.status == quota_status::granted || answer.status == quota_status::none;
    if (!ended.is_fallback && is_decided && now < state.avoids_coordinator_until) {
        // The coordinator was only late. What another daemon has granted meanwhile, it subtracts.
        state.avoids_coordinator_until = now;
        state.checks_coordinator_until = now;
        choose_fallback(ended.tenant, state, std::nullopt, now);
    }
    if (answer.status == quota_status::none) {
        const absl::Duration retry = absl::Milliseconds(answer.retry_ms);
        state.retry_at = now + retry;
        state.refused_until = now + std::clamp(retry, min_refusal_time, max_refusal_time);
        refuse_waiters(state, quota_verdict::kind::refused_over, now);
    } else if (answer.status == quota_status::moved && !ended.is_overdue) {
        follow(ended, answer.moved_to, now);
    } else if (answer.status == quota_status::unknown && !ended.is_overdue) {
        handle_no_answer(ended, now);
    } else if (answer.status == quota_status::granted && !state.waiters.empty()) {
        ask_if_needed(ended.tenant, state, now);
    }
}

void quota_client::follow(const open_ask& ended, const endpoint& to, absl::Time now) {
    tenant_state& state = m_tenants.at(ended.tenant);
    if (ended.is_fallback || !m_view.is_member(to) || to == ended.to) {
        handle_no_answer(ended, now);
        return;
    }
    state.moved_to = to;
    state.moved_until = now + moved_memory;
    if (ended.moves >= max_moves) {
        retry_later(ended.tenant, now);
        return;
    }
    ask(ended.tenant, state, ended.wanted, false, now, ended.moves + 1);
}

endpoint quota_client::coordinator(const std::string& tenant, absl::Time now) const {
    const auto found = m_tenants.find(tenant);
    if (found != m_tenants.end() && found->second.moved_to && now < found->second.moved_until &&
        m_view.is_member(*found->second.moved_to)) {
        return *found->second.moved_to;
    }
    return *m_view.candidates(tenant).coordinator;
}

void quota_client::tick(absl::Time now) {
    advance(now);
    std::vector<std::uint64_t> overdue;
    for (auto& [id, open] : m_asks) {
        const absl::Duration waited = m_run_time - open.started;
        if (open.is_overdue) {
            continue;
        }
        if (waited >= answer_timeout) {
            overdue.push_back(id);
        } else if (waited >= repeat_time && !open.is_repeated) {
            repeat(id, open, now);
        }
    }
    for (const std::uint64_t id : overdue) {
        const auto found = m_asks.find(id);
        if (found != m_asks.end()) {
            tenant_state& state = m_tenants.at(found->second.tenant);
            close(state, found->second);
            found->second.is_overdue = true;
            handle_no_answer(open_ask(found->second), now);
            refuse_overdue_waiters(state, now);
        }
    }
    run_retries(now);
    absl::erase_if(m_asks, [now](const auto& entry) { return now - entry.second.sent > token_lifetime; });
}

void quota_client::repeat(std::uint64_t id, open_ask& open, absl::Time now) {
    open.is_repeated = true;
    if (m_tenants.at(open.tenant).waiters.empty() || !m_view.is_alive(open.to)) {
        return;
    }
    const absl::Duration spent = std::min(now - open.sent, absl::Milliseconds(open.fallback_ms));
    const auto left = open.fallback_ms - static_cast<std::uint32_t>(absl::ToInt64Milliseconds(spent));
    m_outgoing.push_back({open.to, {id, open.tenant, open.wanted, open.is_fallback ? std::max(left, 1U) : 0}});
}

void quota_client::retry_later(const std::string& tenant, absl::Time now) {
    m_retries.try_emplace(tenant, now + retry_interval);
}

void quota_client::run_retries(absl::Time now) {
    std::vector<std::string> due;
    for (const auto& [tenant, at] : m_retries) {
        if (now >= at) {
            due.push_back(tenant);
        }
    }
    for (const std::string& tenant : due) {
        m_retries.erase(tenant);
        tenant_state& state = m_tenants.at(tenant);
        refuse_overdue_waiters(state, now);
        if (!state.waiters.empty()) {
            ask_if_needed(tenant, state, now);
        }
    }
}

void quota_client::advance(absl::Time now) {
    if (m_last_event != absl::InfinitePast()) {
        m_run_time += std::clamp(now - m_last_event, absl::ZeroDuration(), max_event_gap);
    }
    m_last_event = std::max(m_last_event, now);
}

void quota_client::drop_tokens(const std::string& tenant, absl::Time now) {
    const auto found = m_tenants.find(tenant);
    if (found == m_tenants.end()) {
        return;
    }
    found->second.stock.clear();
    found->second.asked = 0;
    absl::erase_if(m_asks, [&](const auto& entry) { return entry.second.tenant == tenant; });
    if (!found->second.waiters.empty()) {
        ask_if_needed(tenant, found->second, now);
    }
}

void quota_client::update_demand(tenant_state& state, absl::Time now) {
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - state.demand_updated));
    state.demand = state.demand * std::exp(-seconds / demand_seconds) + 1 / demand_seconds;
    state.demand_updated = now;
}

std::uint32_t quota_client::batch(const tenant_state& state) {
    return static_cast<std::uint32_t>(std::clamp(state.demand * batch_seconds, 1.0, max_batch));
}

std::uint32_t quota_client::usable_tokens(tenant_state& state, absl::Time now) {
    std::uint32_t total = 0;
    while (!state.stock.empty() && (state.stock.front().expires <= now || state.stock.front().count == 0)) {
        m_counters.expired += state.stock.front().count;
        state.stock.pop_front();
    }
    for (const tokens& held : state.stock) {
        total += held.count;
    }
    return total;
}

void quota_client::ask_if_needed(const std::string& tenant, tenant_state& state, absl::Time now) {
    const std::uint32_t held = usable_tokens(state, now);
    const auto waiting_requests = static_cast<std::uint32_t>(state.waiters.size());
    const std::uint32_t expected = held + state.asked;
    const std::uint32_t wanted = batch(state);
    if (expected >= waiting_requests && waiting_requests > 0) {
        return;
    }
    const bool is_refill = waiting_requests == 0;
    if (is_refill && (wanted < 2 || state.asked > 0 || held >= wanted * refill_share || now < state.refused_until)) {
        return;
    }
    bool is_avoided = now < state.avoids_coordinator_until;
    if (!is_avoided && now < state.checks_coordinator_until) {
        // The coordinator was silent when last asked. It is told of each ask to another daemon, so its answer ends
        // this.
        is_avoided = m_reach.is_silent(coordinator(tenant, now), now);
        state.avoids_coordinator_until = is_avoided ? now + avoid_time : state.avoids_coordinator_until;
        state.checks_coordinator_until = is_avoided ? now + silence_check_time : state.checks_coordinator_until;
    }
    ask(tenant, state, std::max(wanted, waiting_requests - std::min(expected, waiting_requests)), is_avoided, now);
}

void quota_client::ask(const std::string& tenant, tenant_state& state, std::uint32_t wanted, bool is_fallback,
                       absl::Time now, int moves) {
    const endpoint first = coordinator(tenant, now);
    const quota_candidates candidates = m_view.candidates(tenant, [&](const endpoint& member) {
        return member == first || (is_fallback && m_reach.is_silent(member, now));
    });
    choose_fallback(tenant, state, is_fallback ? candidates.second : std::nullopt, now);
    if (is_fallback && !state.fallback) {
        refuse_waiters(state, quota_verdict::kind::refused_unknown, now);
        return;
    }
    const std::uint64_t id = m_next_id++;
    const absl::Duration left = std::max(absl::Milliseconds(1), state.avoids_coordinator_until - now);
    const auto fallback_ms = is_fallback ? static_cast<std::uint32_t>(absl::ToInt64Milliseconds(left)) : 0;
    const endpoint to = is_fallback ? *state.fallback : first;
    m_asks[id] = {tenant, to, now, m_run_time, wanted, fallback_ms, moves, is_fallback, false, false};
    state.asked += wanted;
    ++m_counters.asks;
    m_outgoing.push_back({to, {id, tenant, wanted, fallback_ms}});
    if (is_fallback) {
        ++m_counters.fallback_asks;
        m_outgoing.push_back({first, {m_next_id++, tenant, 0, fallback_ms}});
    }
}

void quota_client::choose_fallback(const std::string& tenant, tenant_state& state,
                                   const std::optional<endpoint>& second, absl::Time now) {
    const bool is_kept = second && state.fallback && !m_reach.is_silent(*state.fallback, now);
    if (is_kept || state.fallback == second) {
        return;
    }
    if (state.fallback) {
        // Otherwise that one would go on to count this entry, and both would grant for it.
        m_outgoing.push_back({*state.fallback, {m_next_id++, tenant, 0, 0}});
    }
    state.fallback = second;
}

void quota_client::handle_no_answer(const open_ask& overdue, absl::Time now) {
    tenant_state& state = m_tenants.at(overdue.tenant);
    if (state.waiters.empty()) {
        return;
    }
    if (overdue.is_fallback) {
        // Requests that wait for too long are refused by refuse_overdue_waiters().
        if (!m_reach.is_silent(coordinator(overdue.tenant, now), now)) {
            state.avoids_coordinator_until = now;
        }
        retry_later(overdue.tenant, now);
        return;
    }
    state.avoids_coordinator_until = now + avoid_time;
    state.checks_coordinator_until = now + silence_check_time;
    const std::string tenant = overdue.tenant;
    ask(tenant, state, std::max(batch(state), static_cast<std::uint32_t>(state.waiters.size())), true, now);
}

void quota_client::serve_waiters(tenant_state& state, absl::Time now) {
    while (!state.waiters.empty() && usable_tokens(state, now) > 0) {
        tokens& oldest = state.stock.front();
        --oldest.count;
        ++m_counters.granted;
        m_resolved.push_back({state.waiters.front().id, {quota_verdict::kind::run, oldest.expires, {}}});
        state.waiters.pop_front();
    }
}

void quota_client::refuse_waiters(tenant_state& state, quota_verdict::kind reason, absl::Time now) {
    for (const waiting& entry : state.waiters) {
        m_resolved.push_back({entry.id, make_refusal(state, reason, now)});
    }
    state.waiters.clear();
}

void quota_client::refuse_overdue_waiters(tenant_state& state, absl::Time now) {
    while (!state.waiters.empty() && m_run_time - state.waiters.front().since >= max_wait) {
        m_resolved.push_back(
            {state.waiters.front().id, make_refusal(state, quota_verdict::kind::refused_unknown, now)});
        state.waiters.pop_front();
    }
}

quota_verdict quota_client::make_refusal(const tenant_state& state, quota_verdict::kind reason, absl::Time now) {
    const bool is_over = reason == quota_verdict::kind::refused_over;
    ++(is_over ? m_counters.refused_over : m_counters.refused_unknown);
    return {reason, now, is_over ? std::max(min_refusal_time, state.retry_at - now) : absl::ZeroDuration()};
}

void quota_client::close(tenant_state& state, const open_ask& ended) {
    if (ended.wanted > 0 && state.asked > 0 && !ended.is_overdue) {
        state.asked -= std::min(state.asked, ended.wanted);
    }
}

} // namespace amaranthladder
