#include "routing/retry_budget.h"

#include <algorithm>

namespace amaranthladder {

retry_budget::retry_budget(retry_budget_policy policy) : m_policy(policy), m_reserve(policy.reserve) {}

void retry_budget::on_request(const std::string& service, absl::Time now) {
    account& service_account = m_accounts[service];
    advance(service_account, now);
    ++service_account.requests[static_cast<std::size_t>(service_account.newest_bucket) % bucket_count];
    ++service_account.recent;
    service_account.tokens = std::min(service_account.tokens + m_policy.service_share,
                                      static_cast<double>(service_account.recent) * m_policy.service_share);
    m_reserve = std::min(m_reserve + m_policy.reserve_share, m_policy.reserve);
}

bool retry_budget::try_spend(const std::string& service, absl::Time now) {
    account& service_account = m_accounts[service];
    advance(service_account, now);
    if (service_account.tokens >= 1) {
        service_account.tokens -= 1;
        return true;
    }
    if (m_reserve >= 1) {
        m_reserve -= 1;
        return true;
    }
    return false;
}

double retry_budget::available(const std::string& service, absl::Time now) const {
    const auto found = m_accounts.find(service);
    if (found == m_accounts.end()) {
        return m_reserve;
    }
    account copy = found->second;
    advance(copy, now);
    return copy.tokens + m_reserve;
}

std::int64_t retry_budget::bucket_number(absl::Time now) const {
    const std::int64_t bucket_us = absl::ToInt64Microseconds(m_policy.window) / static_cast<std::int64_t>(bucket_count);
    return absl::ToUnixMicros(now) / std::max<std::int64_t>(bucket_us, 1);
}

void retry_budget::advance(account& service_account, absl::Time now) const {
    const std::int64_t current = std::max<std::int64_t>(bucket_number(now), 0);
    const std::int64_t steps = std::min<std::int64_t>(current - service_account.newest_bucket, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step) {
        std::uint32_t& oldest = service_account.requests[static_cast<std::size_t>(current - step) % bucket_count];
        service_account.recent -= oldest;
        oldest = 0;
    }
    // A clock that steps back leaves the newest bucket in place.
    service_account.newest_bucket = std::max(service_account.newest_bucket, current);
    service_account.tokens =
        std::min(service_account.tokens, static_cast<double>(service_account.recent) * m_policy.service_share);
}

} // namespace amaranthladder
