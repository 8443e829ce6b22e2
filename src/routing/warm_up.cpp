#include "routing/warm_up.h"

#include <algorithm>

namespace amaranthladder {

warm_up::warm_up(warm_up_policy policy) : m_policy(policy) {}

double warm_up::weight(absl::Time since, absl::Time now) const {
    if (since == absl::InfinitePast() || now - since >= m_policy.period) {
        return 1;
    }
    const double progress = std::max(absl::FDivDuration(now - since, m_policy.period), 0.0);
    return m_policy.initial_weight + (1 - m_policy.initial_weight) * progress;
}

} // namespace amaranthladder
