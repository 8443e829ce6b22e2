#include "routing/slot_limiter.h"

#include "common/error.h"

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// A less urgent request waits for at most 20 times its turn in the queue before it counts as never served.
constexpr double max_more_urgent_share = 0.95;

} // namespace

slot_limiter::slot_limiter(int slots, int queue_limit, slot_limiter_policy policy)
    : m_policy(policy), m_slots(std::max(slots, 1)), m_queue_limit(std::max(queue_limit, 0)),
      m_cold_starts(policy.cold) {}

admission slot_limiter::offer(request_id id, absl::Time deadline, absl::Time now, const std::string& kind) {
    return offer({id, deadline, kind}, now);
}

admission slot_limiter::offer(const slot_request& request, absl::Time now) {
    const absl::Time deadline = request.deadline;
    if (is_known(request.id)) {
        throw error(result_code::internal_error, "a request was offered twice to a slot limiter");
    }
    if (m_refusal != result_code::ok) {
        return {admission::verdict::refused, m_refusal};
    }
    if (m_is_leaving) {
        return {admission::verdict::refused, result_code::upstream_leaving};
    }
    if (deadline <= now) {
        return {admission::verdict::refused, result_code::deadline_expired};
    }
    const waiting_request offered{.id = request.id,
                                  .deadline = deadline,
                                  .kind = kind_index(request.kind),
                                  .target_time = std::min(request.target_time, deadline),
                                  .priority = request.priority,
                                  .tenant = m_tenants.index_of(request.tenant, request.tenant_weight),
                                  .is_nested = request.is_nested};
    m_balance.on_offered(offered.priority, now);
    m_tenants.on_offered(offered.tenant, now);
    if (offered.is_nested) {
        m_nested_reserve.on_offered(service_time_of(offered.kind), now);
    }
    // New work that waits for a slot outside the reserve does not delay a nested call.
    const bool is_first = offered.is_nested && reserved_slots(now) > 0
                              ? std::ranges::none_of(m_queue, &waiting_request::is_nested)
                              : m_queue.empty();
    if (is_slot_free(offered.is_nested, now) && is_first && may_start(now)) {
        start(offered, now);
        return {admission::verdict::run, result_code::ok};
    }
    if (m_policy.order == queue_order::target_first) {
        return offer_by_target(offered, now);
    }
    if (m_policy.drops_unmeetable && now + expected_wait(deadline, now) >= latest_start(offered)) {
        return {admission::verdict::refused, result_code::queue_deadline};
    }
    if (queued() >= m_queue_limit && !displace_for(offered)) {
        return {admission::verdict::refused, result_code::queue_full};
    }
    m_queue.push_back(offered);
    return {admission::verdict::queued, result_code::ok};
}

slot_change slot_limiter::finish(request_id id, absl::Time now) {
    const auto found = std::ranges::find(m_running, id, &running_request::id);
    if (found == m_running.end()) {
        return {};
    }
    update_average(m_service_time, now - found->started);
    update_average(m_service_time_by_kind[found->kind], now - found->started);
    m_running.erase(found);
    slot_change change = start_queued(now);
    report_displaced(change.dropped);
    return change;
}

std::vector<request_id> slot_limiter::expire(absl::Time now) {
    std::vector<request_id> dropped;
    for (waiting_request& waiting : m_queue) {
        const bool is_late = m_policy.order == queue_order::target_first && !is_in_time(waiting, now);
        waiting.is_favoured = waiting.is_favoured || (is_late && m_balance.is_disadvantaged(waiting.priority, now));
        // While requests in time keep arriving, late ones would wait behind them; another upstream may have free slots.
        if (now >= latest_start(waiting) || (is_late && is_any_in_time_ahead(waiting, now))) {
            dropped.push_back(waiting.id);
            m_balance.on_refused(waiting.priority, now);
        }
    }
    std::erase_if(m_queue, [&](const waiting_request& waiting) {
        return std::ranges::find(dropped, waiting.id) != dropped.end();
    });
    report_displaced(dropped);
    return dropped;
}

cancel_result slot_limiter::cancel(request_id id) {
    if (std::ranges::find(m_running, id, &running_request::id) != m_running.end()) {
        return cancel_result::running;
    }
    const auto removed = std::erase_if(m_queue, [&](const waiting_request& waiting) { return waiting.id == id; }) +
                         std::erase(m_displaced, id);
    return removed > 0 ? cancel_result::queued : cancel_result::unknown;
}

std::vector<request_id> slot_limiter::set_leaving(absl::Time serves_until, absl::Time now) {
    m_is_leaving = true;
    m_serves_until = std::min(m_serves_until, serves_until);
    std::vector<request_id> dropped;
    if (m_serves_until == absl::InfiniteFuture()) {
        return dropped;
    }
    const std::vector<waiting_request> queue = m_queue;
    std::ptrdiff_t kept = 0;
    while (!m_queue.empty()) {
        const auto position = m_queue.begin() + static_cast<std::ptrdiff_t>(next_position(now));
        if (now + wait_behind(kept, now) >= latest_start(*position)) {
            dropped.push_back(position->id);
        } else {
            ++kept;
        }
        m_queue.erase(position);
    }
    m_queue = queue;
    std::erase_if(m_queue, [&](const waiting_request& waiting) {
        return std::ranges::find(dropped, waiting.id) != dropped.end();
    });
    return dropped;
}

std::vector<request_id> slot_limiter::set_refusal(result_code code) {
    m_refusal = code;
    std::vector<request_id> dropped;
    if (code != result_code::ok) {
        for (const waiting_request& waiting : m_queue) {
            dropped.push_back(waiting.id);
        }
        m_queue.clear();
        report_displaced(dropped);
    }
    return dropped;
}

void slot_limiter::clear_leaving() {
    m_is_leaving = false;
    m_serves_until = absl::InfiniteFuture();
}

slot_change slot_limiter::set_limits(int slots, int queue_limit, absl::Time now) {
    m_slots = std::max(slots, 1);
    m_queue_limit = std::max(queue_limit, 0);
    return start_queued(now);
}

slot_change slot_limiter::set_rate_limit(std::optional<double> per_second, absl::Time now) {
    m_rate_limit_knowledge.end();
    m_start_rate.set_limit(per_second, now);
    return start_queued(now);
}

slot_change slot_limiter::start_permitted(absl::Time now) {
    return start_queued(now);
}

bool slot_limiter::try_repeat(absl::Time now) {
    if (!may_send(now) || !may_start(now)) {
        return false;
    }
    m_start_rate.on_start(now);
    m_cold_starts.on_start(now);
    return true;
}

std::optional<absl::Time> slot_limiter::next_expiry() const {
    if (!m_displaced.empty()) {
        return absl::InfinitePast();
    }
    if (m_queue.empty()) {
        return std::nullopt;
    }
    absl::Time earliest = absl::InfiniteFuture();
    for (const waiting_request& waiting : m_queue) {
        earliest = std::min(earliest, latest_start(waiting));
    }
    return earliest;
}

bool slot_limiter::is_drained() const {
    return m_is_leaving && m_running.empty() && m_queue.empty() && m_displaced.empty();
}

absl::Duration slot_limiter::service_time(const std::string& kind) const {
    const auto known = m_kind_indexes.find(kind);
    return known == m_kind_indexes.end() ? absl::ZeroDuration() : m_service_time_by_kind[known->second];
}

absl::Duration slot_limiter::expected_service_time(const std::string& kind) const {
    const auto known = m_kind_indexes.find(kind);
    return known == m_kind_indexes.end() ? m_service_time : service_time_of(known->second);
}

absl::Duration slot_limiter::backlog(absl::Time now) const {
    const absl::Duration wait_for_slot =
        m_service_time * static_cast<double>(std::max(0, running() + queued() + 1 - m_slots)) / m_slots;
    return std::max(wait_for_slot, wait_for_start(queued(), now));
}

absl::Duration slot_limiter::wait_of(int priority, absl::Time now, int ending) const {
    const auto ahead = std::ranges::count_if(
        m_queue, [&](const waiting_request& waiting) { return waiting.is_nested || waiting.priority <= priority; });
    if (is_slot_free(false, now, ending) && m_queue.empty()) {
        return wait_for_start(0, now);
    }
    const absl::Duration wait = wait_behind(ahead, now);
    return wait + overtaken_wait(wait, priority, now);
}

double slot_limiter::load(absl::Time now) const {
    const double slot_load = static_cast<double>(running() + queued()) / m_slots;
    const absl::Duration wait = wait_for_start(queued(), now);
    if (wait == absl::ZeroDuration() || m_service_time == absl::ZeroDuration()) {
        return slot_load;
    }
    return std::max(slot_load, 1 + absl::FDivDuration(wait, m_service_time));
}

std::optional<double> slot_limiter::rate_limit(absl::Time now) const {
    const std::optional<double> cold = m_cold_starts.limit(now);
    const std::optional<double> requested = m_start_rate.limit();
    return cold && requested ? std::min(cold, requested) : (cold ? cold : requested);
}

int slot_limiter::reserved_slots(absl::Time now) const {
    if (m_policy.max_nested_reserve <= 0 || m_policy.order != queue_order::target_first) {
        return 0;
    }
    return std::min(m_nested_reserve.reserved(m_slots, now), static_cast<int>(m_slots * m_policy.max_nested_reserve));
}

bool slot_limiter::is_slot_free(bool is_nested, absl::Time now, int ending) const {
    if (running() - ending >= m_rate_limit_knowledge.usable_slots(m_slots)) {
        return false;
    }
    const int reserved = is_nested ? 0 : reserved_slots(now);
    const auto new_work = std::ranges::count(m_running, false, &running_request::is_nested);
    return reserved == 0 || new_work - ending < m_slots - reserved;
}

bool slot_limiter::may_start(absl::Time now) const {
    return m_start_rate.may_start(now) && m_cold_starts.may_start(now);
}

absl::Duration slot_limiter::wait_for_start(std::ptrdiff_t ahead, absl::Time now) const {
    return std::max(m_start_rate.wait(ahead, now), m_cold_starts.wait(ahead, now));
}

absl::Time slot_limiter::latest_start(const waiting_request& waiting) const {
    const absl::Time meetable =
        m_policy.drops_unmeetable ? waiting.deadline - m_service_time_by_kind[waiting.kind] : waiting.deadline;
    return std::min(meetable, m_serves_until - service_time_of(waiting.kind));
}

absl::Duration slot_limiter::service_time_of(std::size_t kind) const {
    const absl::Duration known = m_service_time_by_kind[kind];
    return known == absl::ZeroDuration() ? m_service_time : known;
}

bool slot_limiter::is_in_time(const waiting_request& waiting, absl::Time start) const {
    return start + m_policy.target_margin * service_time_of(waiting.kind) <= waiting.target_time;
}

bool slot_limiter::is_any_in_time_ahead(const waiting_request& waiting, absl::Time now) const {
    return std::ranges::any_of(m_queue, [&](const waiting_request& other) {
        return is_in_time(other, now) && is_before(other, waiting, now);
    });
}

bool slot_limiter::is_before(const waiting_request& left, const waiting_request& right, absl::Time now) const {
    const bool is_left_in_time = is_in_time(left, now);
    const bool is_right_in_time = is_in_time(right, now);
    if ((is_left_in_time || left.is_favoured) != (is_right_in_time || right.is_favoured)) {
        return is_left_in_time || left.is_favoured;
    }
    if (left.is_nested != right.is_nested) {
        return left.is_nested;
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    if (is_left_in_time != is_right_in_time) {
        return is_left_in_time;
    }
    if (m_tenants.is_before(left.tenant, right.tenant) || m_tenants.is_before(right.tenant, left.tenant)) {
        return m_tenants.is_before(left.tenant, right.tenant);
    }
    return is_left_in_time ? left.target_time < right.target_time : left.deadline < right.deadline;
}

std::ptrdiff_t slot_limiter::count_ahead(const waiting_request& waiting, absl::Time now) const {
    return std::ranges::count_if(m_queue, [&](const waiting_request& other) { return is_before(other, waiting, now); });
}

std::ptrdiff_t slot_limiter::count_in_time_ahead(const waiting_request& offered, absl::Time now) const {
    return std::ranges::count_if(m_queue, [&](const waiting_request& waiting) {
        return (is_in_time(waiting, now) || waiting.is_favoured) && is_before(waiting, offered, now);
    });
}

admission slot_limiter::offer_by_target(waiting_request offered, absl::Time now) {
    bool is_accepted = is_admitted(offered, now);
    if (!is_accepted && m_balance.is_disadvantaged(offered.priority, now)) {
        offered.is_favoured = true;
        is_accepted = is_admitted(offered, now);
    }
    if (!is_accepted || (queued() >= m_queue_limit && !displace_last_for(offered, now))) {
        m_balance.on_refused(offered.priority, now);
        return {admission::verdict::refused, result_code::queue_full};
    }
    m_queue.push_back(offered);
    return {admission::verdict::queued, result_code::ok};
}

absl::Duration slot_limiter::overtaken_wait(absl::Duration wait, int priority, absl::Time now) const {
    if (!m_balance.is_short(now)) {
        return absl::ZeroDuration();
    }
    const double urgent = std::min(m_balance.more_urgent_share(priority, now), max_more_urgent_share);
    return wait * (urgent / (1 - urgent));
}

bool slot_limiter::is_admitted(const waiting_request& offered, absl::Time now) const {
    const absl::Duration wait = wait_behind(count_in_time_ahead(offered, now), now);
    if (is_in_time(offered, now + wait + overtaken_wait(wait, offered.priority, now))) {
        return true;
    }
    // Late requests get only spare capacity: at most one per slot is queued, and none while another one is in time.
    // Less urgent requests do not count against a favoured one.
    const std::ptrdiff_t ahead = offered.is_favoured ? count_ahead(offered, now) : queued();
    absl::Duration late_wait =
        offered.is_favoured ? wait_behind(ahead, now) : std::max(wait, wait_for_start(ahead, now));
    late_wait += overtaken_wait(late_wait, offered.priority, now);
    return !is_any_in_time_ahead(offered, now) && ahead < m_slots &&
           now + late_wait + service_time_of(offered.kind) <= offered.deadline;
}

std::size_t slot_limiter::kind_index(const std::string& kind) {
    const auto [found, is_new] = m_kind_indexes.try_emplace(kind, m_service_time_by_kind.size());
    if (is_new) {
        m_service_time_by_kind.push_back(absl::ZeroDuration());
    }
    return found->second;
}

absl::Duration slot_limiter::expected_wait(absl::Time deadline, absl::Time now) const {
    // Only requests that start before the new one delay it.
    std::ptrdiff_t ahead = queued();
    if (m_policy.order == queue_order::lifo) {
        ahead = 0;
    } else if (m_policy.order == queue_order::earliest_deadline) {
        ahead = std::ranges::count_if(m_queue, [&](const waiting_request& w) { return w.deadline <= deadline; });
    }
    return wait_behind(ahead, now);
}

absl::Duration slot_limiter::wait_behind(std::ptrdiff_t ahead, absl::Time now) const {
    const absl::Duration wait_for_slot = m_service_time * static_cast<double>(ahead + 1) / m_slots;
    return std::max(wait_for_slot, wait_for_start(ahead, now));
}

void slot_limiter::start(const waiting_request& started, absl::Time now) {
    m_tenants.on_started(started.tenant, now);
    m_balance.on_started(started.priority, service_time_of(started.kind), now);
    m_running.push_back({started.id, now, started.kind, started.is_nested});
    m_rate_limit_knowledge.on_start(now);
    m_start_rate.on_start(now);
    m_cold_starts.on_start(now);
}

slot_change slot_limiter::start_queued(absl::Time now) {
    slot_change change;
    while (has_free_slot() && !m_queue.empty() && may_start(now)) {
        const std::size_t index = next_position(now, !is_slot_free(false, now));
        if (index == m_queue.size()) {
            break;
        }
        const auto position = m_queue.begin() + static_cast<std::ptrdiff_t>(index);
        const waiting_request next = *position;
        m_queue.erase(position);
        if (now >= latest_start(next)) {
            change.dropped.push_back(next.id);
            m_balance.on_refused(next.priority, now);
        } else {
            start(next, now);
            change.run.push_back(next.id);
        }
    }
    return change;
}

std::size_t slot_limiter::next_position(absl::Time now, bool takes_nested_only) const {
    if (takes_nested_only && std::ranges::none_of(m_queue, &waiting_request::is_nested)) {
        return m_queue.size();
    }
    switch (m_policy.order) {
    case queue_order::lifo:
        return m_queue.size() - 1;
    case queue_order::earliest_deadline:
        return static_cast<std::size_t>(std::ranges::min_element(m_queue, {}, &waiting_request::deadline) -
                                        m_queue.begin());
    case queue_order::target_first:
        return static_cast<std::size_t>(
            std::ranges::min_element(m_queue,
                                     [&](const waiting_request& left, const waiting_request& right) {
                                         if (takes_nested_only && left.is_nested != right.is_nested) {
                                             return left.is_nested;
                                         }
                                         return is_before(left, right, now);
                                     }) -
            m_queue.begin());
    case queue_order::fifo:
        break;
    }
    return 0;
}

bool slot_limiter::displace_for(const waiting_request& offered) {
    if (!m_policy.displaces_latest || m_policy.order != queue_order::earliest_deadline || m_queue.empty()) {
        return false;
    }
    const auto latest = std::ranges::max_element(m_queue, {}, &waiting_request::deadline);
    if (latest->deadline <= offered.deadline) {
        return false;
    }
    m_displaced.push_back(latest->id);
    m_queue.erase(latest);
    return true;
}

bool slot_limiter::displace_last_for(const waiting_request& offered, absl::Time now) {
    if (m_queue.empty()) {
        return false;
    }
    const auto last = std::ranges::max_element(m_queue, [&](const waiting_request& left, const waiting_request& right) {
        return is_before(left, right, now);
    });
    const bool is_of_higher_rank = offered.is_nested != last->is_nested || offered.priority != last->priority ||
                                   m_tenants.is_before(offered.tenant, last->tenant);
    if (!is_of_higher_rank || !is_before(offered, *last, now)) {
        return false;
    }
    m_balance.on_refused(last->priority, now);
    m_displaced.push_back(last->id);
    m_queue.erase(last);
    return true;
}

void slot_limiter::report_displaced(std::vector<request_id>& dropped) {
    dropped.insert(dropped.end(), m_displaced.begin(), m_displaced.end());
    m_displaced.clear();
}

bool slot_limiter::is_known(request_id id) const {
    return std::ranges::find(m_running, id, &running_request::id) != m_running.end() ||
           std::ranges::find(m_queue, id, &waiting_request::id) != m_queue.end() ||
           std::ranges::find(m_displaced, id) != m_displaced.end();
}

void slot_limiter::update_average(absl::Duration& average, absl::Duration sample) const {
    average = average == absl::ZeroDuration() ? sample : average + (sample - average) * m_policy.service_time_weight;
}

} // namespace amaranthladder
