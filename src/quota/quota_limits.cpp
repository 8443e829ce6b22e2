#include "quota/quota_limits.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Parts of the slack and of the requests in a window that the reserves may grant.
constexpr double reserve_slack_share = 0.12;
constexpr double reserve_window_share = 0.015;
/// Daemons with different views may take different daemons for the second-ranked one.
constexpr double reserves_in_use = 3;
/// Part of what the rate may use at most; the rest keeps a bucket of useful size for tenants without a burst.
constexpr double max_rate_share = 0.94;
/// Part of what rate and reserves leave. The rest covers the overlap when another daemon becomes the coordinator.
constexpr double capacity_share = 0.45;

} // namespace

quota_allowance make_quota_allowance(double rate, double burst, const quota_limits& limits) {
    const double window_s = absl::ToDoubleSeconds(limits.window);
    // Tokens granted before a window are used in it as well, up to their lifetime.
    const double period_s = window_s + absl::ToDoubleSeconds(token_lifetime);
    const double nominal = rate * window_s + burst;
    const double reserve = reserve_slack_share * limits.slack + reserve_window_share * nominal;
    const double usable = nominal * (1 + limits.overage) + limits.slack - reserves_in_use * reserve;
    quota_allowance result;
    result.rate = std::min(rate, usable * max_rate_share / period_s);
    result.capacity = (usable - result.rate * period_s) * capacity_share;
    result.reserve_capacity = reserve / 2;
    result.reserve_rate = reserve / 2 / period_s;
    return result;
}

} // namespace amaranthladder
