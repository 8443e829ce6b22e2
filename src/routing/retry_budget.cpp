#include "routing/retry_budget.h"

#include <algorithm>

namespace amaranthladder {

retry_budget::retry_budget(retry_budget_policy policy) : m_policy(policy), m_reserve(policy.reserve) {}

void retry_budget::on_request(const std::string& service, absl::Time now) {
    service_budget& budget = m_budgets[service];
    advance_window(budget, now);
    ++budget.requests_by_bucket[static_cast<std::size_t>(budget.newest_bucket) % bucket_count];
    ++budget.recent_requests;
    budget.tokens = std::min(budget.tokens + m_policy.retries_per_request,
                             static_cast<double>(budget.recent_requests) * m_policy.retries_per_request);
    m_reserve = std::min(m_reserve + m_policy.reserve_per_request, m_policy.reserve);
}

bool retry_budget::try_spend(const std::string& service, absl::Time now) {
    service_budget& budget = m_budgets[service];
    advance_window(budget, now);
    if (budget.tokens >= 1) {
        budget.tokens -= 1;
        return true;
    }
    if (m_reserve >= 1) {
        m_reserve -= 1;
        return true;
    }
    return false;
}

double retry_budget::available(const std::string& service, absl::Time now) const {
    const auto found = m_budgets.find(service);
    if (found == m_budgets.end()) {
        return m_reserve;
    }
    service_budget copy = found->second;
    advance_window(copy, now);
    return copy.tokens + m_reserve;
}

std::int64_t retry_budget::bucket_number(absl::Time now) const {
    const std::int64_t bucket_us = absl::ToInt64Microseconds(m_policy.window) / static_cast<std::int64_t>(bucket_count);
    return absl::ToUnixMicros(now) / std::max<std::int64_t>(bucket_us, 1);
}

void retry_budget::advance_window(service_budget& budget, absl::Time now) const {
    const std::int64_t current = std::max<std::int64_t>(bucket_number(now), 0);
    const std::int64_t steps = std::min<std::int64_t>(current - budget.newest_bucket, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step) {
        std::uint32_t& oldest = budget.requests_by_bucket[static_cast<std::size_t>(current - step) % bucket_count];
        budget.recent_requests -= oldest;
        oldest = 0;
    }
    // The newest bucket stays in place when the clock steps back.
    budget.newest_bucket = std::max(budget.newest_bucket, current);
    budget.tokens = std::min(budget.tokens, static_cast<double>(budget.recent_requests) * m_policy.retries_per_request);
}

} // namespace amaranthladder
