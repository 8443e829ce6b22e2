#include "routing/nested_reserve.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

/// Age at which an offer counts 1/e, as in priority_balance: an upstream gets tens of requests in this time.
constexpr absl::Duration demand_decay = absl::Seconds(3);
/// Below this demand, nested calls are so rare that a reserved slot would be idle almost always.
constexpr double min_demand = 0.02;
/// Part of the slots that may be reserved. Nested calls that need more get it by going first in the queue; new work
/// must always be able to use slots, or the service would serve nothing but calls.
constexpr double max_reserved_share = 0.5;

} // namespace

void nested_reserve::on_offered(absl::Duration work, absl::Time now) {
    m_demand = demand(now) + absl::FDivDuration(work, demand_decay);
    m_updated_at = std::max(m_updated_at, now);
}

int nested_reserve::reserved(int slots, absl::Time now) const {
    const double needed = demand(now);
    if (needed < min_demand) {
        return 0;
    }
    return std::min(static_cast<int>(std::ceil(needed)), static_cast<int>(slots * max_reserved_share));
}

double nested_reserve::demand(absl::Time now) const {
    return m_demand * std::exp(-absl::FDivDuration(std::max(now - m_updated_at, absl::ZeroDuration()), demand_decay));
}

} // namespace amaranthladder
