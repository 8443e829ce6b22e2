#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// What is known of an upstream and of a request's route when the completion of the request is estimated.
struct completion_inputs {
    absl::Duration route_time;   ///< Mean work time of the route at the upstream's usual speed.
    absl::Duration service_time; ///< The same over all its routes.
    double work_factor = 1;      ///< Time that work takes now, relative to the usual one.
    double slots = 1;
    double load = 0;             ///< Running and queued requests per slot.
    double link_utilisation = 0; ///< Of the link of the upstream's host, 0 to 1.
    double link_mbps = 0;        ///< Speed of that link; 0: unknown, and the link is ignored.
    double bytes = 0;            ///< Mean bytes of a request and a response of the route together.
};

/// Parameters of estimate_completion; docs/design/uneven-load.md gives the reasons.
struct completion_policy {
    double load_weight = 0.1; ///< Time added at a load of 1, in service times: busier upstreams are slower.
    /// Weight of load^2 / (1 - load) in completion_estimate::spread, in service times.
    double spread_weight = 0.3;
    double max_load = 0.9;              ///< Load above which that term grows linearly.
    double max_link_utilisation = 0.95; ///< Cap, since a full link is measured as slightly less than full.
    /// Bytes of others that a request waits for at a utilisation of one half: about half of a body of 60 kB.
    double link_burst_bytes = 32'000;
};

/// Expected time to the response, by its parts.
struct completion_estimate {
    absl::Duration work;
    absl::Duration queue;
    absl::Duration transfer;
    /// Not part of the expected time: cost by which upstreams are compared in addition. It rises while slots are still
    /// free, since the load in a report is a sample that other entries have seen too.
    absl::Duration spread;

    /// @return the expected time to the response.
    absl::Duration total() const {
        return work + queue + transfer;
    }
};

/// Estimates when an upstream would complete a request that is sent to it now. The transfer and the spread rise well
/// before the link or the slots are full, so that requests spread over upstreams before one of them is.
completion_estimate estimate_completion(const completion_inputs& inputs, const completion_policy& policy);

} // namespace amaranthladder
