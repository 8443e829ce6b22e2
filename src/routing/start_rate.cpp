#include "routing/start_rate.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Starts that were not used are kept for this time: long enough to even out arrivals, short compared with the seconds
/// over which an upstream's limit is meant.
constexpr absl::Duration burst_period = absl::Milliseconds(250);
/// Period before a new limit whose starts count against it.
constexpr absl::Duration excess_period = absl::Seconds(1);
/// Starts in excess_period that are not paid back, as a multiple of the limit.
constexpr double max_initial_excess = 2;
/// Longest time for which the excess is paid back: an upstream whose limit is a small part of what it got is not left
/// without requests for longer.
constexpr absl::Duration max_payback_period = absl::Seconds(3);
/// Applies to lower limits too, in starts per second: an upstream that gets no request cannot lift its limit.
constexpr double min_rate = 0.25;

} // namespace

void start_rate::set_limit(std::optional<double> per_second, absl::Time now) {
    if (per_second == m_limit) {
        return;
    }
    m_limit = per_second;
    if (!per_second) {
        m_permits.reset();
        return;
    }
    forget_old_starts(now);
    const double rate = std::max(*per_second, min_rate);
    const double started = static_cast<double>(m_recent_starts.size());
    const double excess = std::max(0.0, started - max_initial_excess * rate * absl::ToDoubleSeconds(excess_period));
    const double capacity = std::max(1.0, rate * absl::ToDoubleSeconds(burst_period));
    double permits = m_permits ? std::min(m_permits->tokens(now), capacity) : 0.0;
    if (excess > 0) {
        permits = std::min(permits, -std::min(excess, rate * absl::ToDoubleSeconds(max_payback_period)));
    }
    m_permits.emplace(capacity, absl::Seconds(1) / rate, now, permits);
}

bool start_rate::may_start(absl::Time now) const {
    return !m_permits || m_permits->available_at(now) <= now;
}

void start_rate::on_start(absl::Time now) {
    forget_old_starts(now);
    m_recent_starts.push_back(now);
    if (m_permits) {
        m_permits->take(now);
    }
}

absl::Duration start_rate::wait(std::ptrdiff_t ahead, absl::Time now) const {
    return m_permits ? m_permits->available_at(now, static_cast<double>(ahead + 1)) - now : absl::ZeroDuration();
}

void start_rate::forget_old_starts(absl::Time now) {
    while (!m_recent_starts.empty() && m_recent_starts.front() <= now - excess_period) {
        m_recent_starts.pop_front();
    }
}

} // namespace amaranthladder
