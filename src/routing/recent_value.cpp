#include "routing/recent_value.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

void recent_value::observe(double value, absl::Time now) {
    if (!has_value()) {
        m_first = now;
        m_mean = value;
    } else {
        // Until the memory is full, the mean is one of equal parts of the time observed.
        const absl::Duration interval = std::max(now - m_updated, absl::Microseconds(1));
        const absl::Duration known = std::max(now - m_first, interval);
        m_mean += (value - m_mean) * std::min(1.0, absl::FDivDuration(interval, std::min(known, m_memory)));
    }
    m_last = value;
    m_updated = std::max(m_updated, now);
}

double recent_value::value(absl::Time now, double prior) const {
    if (!has_value()) {
        return prior;
    }
    const absl::Duration since = std::max(now - m_updated, absl::ZeroDuration());
    const double mean = prior + (m_mean - prior) * std::exp(-absl::FDivDuration(since, m_memory));
    return mean + (m_last - mean) * std::exp(-absl::FDivDuration(since, m_decay));
}

double recent_value::deviation(absl::Time now) const {
    if (!has_value()) {
        return 0;
    }
    return (m_last - m_mean) * std::exp(-absl::FDivDuration(std::max(now - m_updated, absl::ZeroDuration()), m_decay));
}

} // namespace amaranthladder
