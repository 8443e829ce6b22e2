#include "routing/retry_budget.h"

#include <algorithm>

namespace amaranthladder {

retry_budget::retry_budget(retry_budget_policy policy) : m_policy(policy), m_reserve(policy.reserve) {}

void retry_budget::on_request(const std::string& service, absl::Time now) {
    service_budget& budget = m_budgets[service];
    advance_window(budget, now);
    ++newest(budget).requests;
    m_reserve = std::min(m_reserve + m_policy.reserve_per_request, m_policy.reserve);
}

bool retry_budget::try_spend(const std::string& service, absl::Time now) {
    service_budget& budget = m_budgets[service];
    advance_window(budget, now);
    if (unused_retries(budget) >= 1) {
        ++newest(budget).retries;
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
    return unused_retries(copy) + m_reserve;
}

std::int64_t retry_budget::bucket_number(absl::Time now) const {
    const std::int64_t bucket_us =
        absl::ToInt64Microseconds(m_policy.window) / static_cast<std::int64_t>(buckets_per_window);
    return absl::ToUnixMicros(now) / std::max<std::int64_t>(bucket_us, 1);
}

void retry_budget::advance_window(service_budget& budget, absl::Time now) const {
    const std::int64_t current = std::max<std::int64_t>(bucket_number(now), 0);
    const std::int64_t steps = std::min<std::int64_t>(current - budget.newest_bucket, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step) {
        budget.buckets[static_cast<std::size_t>(current - step) % bucket_count] = {};
    }
    // The newest bucket stays in place when the clock steps back.
    budget.newest_bucket = std::max(budget.newest_bucket, current);
}

double retry_budget::unused_retries(const service_budget& budget) const {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    const std::size_t oldest = static_cast<std::size_t>(budget.newest_bucket + 1) % bucket_count;
    for (std::size_t index = 0; index < bucket_count; ++index) {
        requests += index == oldest ? 0 : budget.buckets[index].requests;
        retries += budget.buckets[index].retries;
    }
    return std::max(0.0, static_cast<double>(requests) * m_policy.retries_per_request - static_cast<double>(retries));
}

retry_budget::bucket& retry_budget::newest(service_budget& budget) {
    return budget.buckets[static_cast<std::size_t>(budget.newest_bucket) % bucket_count];
}

} // namespace amaranthladder
