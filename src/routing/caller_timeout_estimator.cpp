#include "routing/caller_timeout_estimator.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// An estimate that no request has confirmed for this long is replaced, since callers may have shortened their timeout.
constexpr absl::Duration estimate_lifetime = absl::Seconds(20);
/// Transit time is already deducted from the stated time, so a first request may state less by up to this much.
constexpr absl::Duration transit_tolerance = absl::Milliseconds(10);

} // namespace

absl::Duration caller_timeout_estimator::time_already_waited(const std::string& route, absl::Duration time_left,
                                                             absl::Time now) {
    timeout_estimate& estimate = m_by_route[route];
    if (time_left + transit_tolerance >= estimate.timeout || now - estimate.last_seen > estimate_lifetime) {
        estimate.timeout =
            now - estimate.last_seen > estimate_lifetime ? time_left : std::max(estimate.timeout, time_left);
        estimate.last_seen = now;
        return absl::ZeroDuration();
    }
    return estimate.timeout - time_left;
}

} // namespace amaranthladder
