#include "routing/latency_average.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

latency_average::latency_average(latency_average_policy policy) : m_policy(policy) {}

void latency_average::observe(absl::Duration sample, absl::Time now) {
    if (m_updated == absl::InfinitePast()) {
        m_value = sample;
    } else {
        const absl::Duration current = value(now);
        m_value = current + (sample - current) * (sample > current ? m_policy.weight_up : m_policy.weight_down);
    }
    m_updated = std::max(m_updated, now);
}

absl::Duration latency_average::value(absl::Time now) const {
    if (m_updated == absl::InfinitePast() || now <= m_updated) {
        return m_value;
    }
    return m_value * std::exp(-absl::FDivDuration(now - m_updated, m_policy.idle_decay));
}

} // namespace amaranthladder
