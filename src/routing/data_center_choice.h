#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Parameters of data_center_choice; docs/design/cross-data-center-routing.md gives the reasons.
struct data_center_policy {
    /// Waiting time that a caller may be asked to accept to save a megabyte between data centres.
    absl::Duration wait_per_megabyte = absl::Milliseconds(1000);
    absl::Duration min_gain = absl::Milliseconds(2); ///< Gain that leaving must have beside that; about a round trip.
    double min_relative_gain = 0.1; ///< The same, relative to the time elsewhere: estimates are not more exact.
    double safe_fraction = 0.5;     ///< Of the time left: a response expected within it will be in time.
    double late_fraction = 0.8; ///< Of the time left: a response expected after it is likely late, as work times vary.
    double urgency = 4;         ///< All leave if the avoided risk is 1 and this part of 1 of the time is saved.
    /// Where a route states no target, the time left is taken to be this multiple of the time elsewhere.
    double assumed_target = 2;
    absl::Duration trusted_age = absl::Seconds(1); ///< Age at which trust in the report from elsewhere is down to 1/e.
    double min_trust = 0.25; ///< Requests keep leaving with this part of the probability, so that a report comes back.
};

/// What is known when a request may leave its data centre.
struct data_center_question {
    absl::Duration at_home = absl::ZeroDuration(); ///< Expected time to the response at the best local candidate.
    absl::Duration elsewhere =
        absl::ZeroDuration(); ///< The same at the best candidate in another data centre, with the way there.
    absl::Duration time_to_target = absl::InfiniteDuration();   ///< Infinite: no target is stated.
    absl::Duration time_to_deadline = absl::InfiniteDuration(); ///< Infinite: there is no deadline.
    double bytes = 0; ///< Mean bytes of a request and a response of the route together.
    absl::Duration elsewhere_age = absl::ZeroDuration(); ///< Age of the report that `elsewhere` is based on.
};

/// Decides how likely a request leaves its data centre.
///
/// It keeps no state. The probability rises gradually with the shortage at home, so that the many entries of a data
/// centre, which all see the same shortage, together send away a part of their requests; and it is zero as soon as home
/// can serve its own in time.
class data_center_choice {
public:
    explicit data_center_choice(data_center_policy policy = {}) : m_policy(policy) {}

    /// @return the probability, 0 to 1, with which the request should leave.
    double leave_probability(const data_center_question& question) const;

private:
    /// @return how likely a response that is expected after @p expected misses a limit @p left from now.
    double miss_risk(absl::Duration expected, absl::Duration left) const;

    data_center_policy m_policy;
};

} // namespace amaranthladder
