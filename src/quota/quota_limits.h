#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Bound on the requests of a tenant that run in any window, summed over all daemons:
/// (rate * window + burst) * (1 + overage) + slack.
struct quota_limits {
    absl::Duration window = absl::Seconds(5);
    double overage = 0.1;
    double slack = 20;

    friend bool operator==(const quota_limits&, const quota_limits&) = default;
};

/// Longest time from asking for a token until the request that uses it is sent.
inline constexpr absl::Duration token_lifetime = absl::Milliseconds(800);

/// What the daemons may grant to a tenant, so that the requests stay below the bound of quota_limits.
struct quota_allowance {
    double rate = 0;             ///< Tokens a second that the coordinator adds to its bucket.
    double capacity = 0;         ///< Tokens that the coordinator's bucket holds at most.
    double reserve_rate = 0;     ///< The same for the reserve of the second-ranked daemon.
    double reserve_capacity = 0; ///< The same.

    friend bool operator==(const quota_allowance&, const quota_allowance&) = default;
};

/// Divides the bound among coordinator, reserve and the overlap of two coordinators after a change.
/// @param rate the tenant's requests a second.
/// @param burst requests beyond the rate that may come at once.
quota_allowance make_quota_allowance(double rate, double burst, const quota_limits& limits);

} // namespace amaranthladder
