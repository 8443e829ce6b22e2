#include "routing/caller_patience.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Callers may come to wait for less: without a request that states the longest time, it is forgotten after this.
constexpr absl::Duration memory = absl::Seconds(20);
/// Requests that state up to this much less are first ones: the time on the way is taken off.
constexpr absl::Duration tolerance = absl::Milliseconds(10);

} // namespace

absl::Duration caller_patience::waited_before(const std::string& route, absl::Duration time_left, absl::Time now) {
    patience& known = m_by_route[route];
    if (time_left + tolerance >= known.longest || now - known.seen > memory) {
        known.longest = now - known.seen > memory ? time_left : std::max(known.longest, time_left);
        known.seen = now;
        return absl::ZeroDuration();
    }
    return known.longest - time_left;
}

} // namespace amaranthladder
