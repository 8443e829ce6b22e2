#include "routing/connection_health.h"

#include <algorithm>

namespace amaranthladder {

namespace {

// Stochastic approximation of a quantile q: each sample above the estimate raises it by step_size * q, each one below
// lowers it by step_size * (1 - q), relative to the estimate.
constexpr double quantile = 0.99;
constexpr double step_size = 0.1;

} // namespace

void first_byte_latency::observe(absl::Duration sample) {
    ++m_samples;
    if (m_samples == 1) {
        m_p99 = sample;
        return;
    }
    m_p99 = sample > m_p99 ? std::min(sample, m_p99 + m_p99 * (step_size * quantile) + absl::Microseconds(1))
                           : std::max(sample, m_p99 - m_p99 * (step_size * (1 - quantile)));
}

connection_health::connection_health(connection_limits limits) : m_limits(limits) {}

bool connection_health::may_reuse(const connection_info& connection, bool is_idempotent, absl::Time now) const {
    const absl::Duration max_idle = is_idempotent ? m_limits.max_idle_idempotent : m_limits.max_idle_non_idempotent;
    return now - connection.last_received <= max_idle && now - connection.opened <= m_limits.max_age;
}

bool connection_health::is_expired(const connection_info& connection, absl::Time now) const {
    return !may_reuse(connection, true, now);
}

std::vector<std::uint64_t> connection_health::connections_to_retire(const connection_info& timed_out,
                                                                    absl::Time request_sent,
                                                                    std::span<const connection_info> others) {
    std::vector<std::uint64_t> retired;
    for (const connection_info& other : others) {
        if (other.id != timed_out.id && other.opened <= request_sent && other.last_received <= request_sent) {
            retired.push_back(other.id);
        }
    }
    return retired;
}

absl::Duration connection_health::first_byte_timeout(const first_byte_latency& latency, bool is_idempotent,
                                                     absl::Duration remaining) const {
    if (!is_idempotent || !can_time_out_early(latency)) {
        return remaining;
    }
    return std::min(std::max(latency.p99() * m_limits.first_byte_factor, m_limits.min_first_byte_timeout), remaining);
}

} // namespace amaranthladder
