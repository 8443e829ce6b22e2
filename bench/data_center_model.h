#pragma once

#include "routing/data_center_choice.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

namespace amaranthladder {

/// Three data centres with a service in each, and entries that see the waiting times there as old as the last response.
struct data_center_scenario {
    /// Requests that arrive in a data centre, relative to the capacity of its upstreams.
    std::function<double(int data_center, absl::Duration since_start)> load;
    /// Share of the upstreams of data centre 0 that serve; 0: evacuated, it has no local candidate.
    std::function<double(absl::Duration since_start)> serving_share = [](absl::Duration) { return 1.0; };
    /// Keeps a request at home if it is expected within half of the time left or sooner than elsewhere, as the former
    /// rule did.
    bool uses_fixed_fraction = false;
    double request_bytes = 2'500;
    absl::Duration target = absl::Milliseconds(600);
    absl::Duration length = absl::Seconds(51);
    absl::Duration measured_from = absl::ZeroDuration(); ///< Requests that arrive earlier are not counted.
    absl::Duration measured_until = absl::InfiniteDuration();
    std::uint64_t seed = 1;
    data_center_policy policy = {};
};

/// Measurements of one run.
struct data_center_outcome {
    std::int64_t requests = 0;
    double in_time = 0;   ///< Share of the requests that are answered within the target.
    double left = 0;      ///< Share of the requests that left their data centre.
    double megabytes = 0; ///< Sent between data centres.
    /// Share of those that left while, within the same half second, others came to their data centre: such exchanges
    /// help nobody.
    double exchanged = 0;
    absl::Duration p99;
};

data_center_outcome run_data_centers(const data_center_scenario& scenario);

} // namespace amaranthladder
