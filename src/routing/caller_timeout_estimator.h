#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// Learns how long callers of a route wait in all, out of the time left that their requests state.
///
/// A caller that was refused and comes back states less than at first. The difference is the time it has already
/// waited, which counts against the route's target latency.
class caller_timeout_estimator {
public:
    /// @param route its name.
    /// @param time_left as the request states it.
    /// @return how long the caller has waited before this request; zero for a first one.
    absl::Duration time_already_waited(const std::string& route, absl::Duration time_left, absl::Time now);

private:
    struct timeout_estimate {
        absl::Duration timeout;
        absl::Time last_seen; ///< When a request last stated about the longest time.
    };

    absl::flat_hash_map<std::string, timeout_estimate> m_by_route;
};

} // namespace amaranthladder
