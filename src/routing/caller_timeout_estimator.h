#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// Estimates the total timeout of a route's callers from the remaining time that their requests state.
///
/// A caller that retries after a refusal states less remaining time than in its first request. The difference is the
/// time it has already waited, which counts against the route's target latency.
class caller_timeout_estimator {
public:
    /// Updates the estimate of a route.
    /// @param route name of the route.
    /// @param time_left remaining time that the request states.
    /// @param now current time.
    /// @return how long the caller had waited before this request; zero for its first request.
    absl::Duration time_already_waited(const std::string& route, absl::Duration time_left, absl::Time now);

private:
    struct timeout_estimate {
        absl::Duration timeout;
        absl::Time last_seen; ///< When a request last stated about this timeout or more.
    };

    absl::flat_hash_map<std::string, timeout_estimate> m_by_route;
};

} // namespace amaranthladder
