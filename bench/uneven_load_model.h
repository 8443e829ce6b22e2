#pragma once

#include "routing/router.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string_view>

namespace amaranthladder {

/// How the entries of the model choose among the upstreams.
enum class uneven_load_policy {
    reported_load, ///< The former cost: service time and queue, without speed, link, spread or excess.
    completion,    ///< router's cost, the cheaper of two random candidates.
    least_of_all,  ///< The same cost, the cheapest of all candidates.
};

std::string_view name(uneven_load_policy value);

/// A service whose upstreams differ in speed, on hosts with narrow links and noisy neighbours. The figures are those of
/// the timetables of deployment S (docs/work-plan.md, 2.2): stop lookups of 42 ms and uploads of 60 kB.
struct uneven_load_scenario {
    uneven_load_policy policy = uneven_load_policy::completion;
    double load = 1;                ///< Relative to the usual rates of both routes.
    double link_mbps = 13;          ///< 0: links have no limit.
    bool has_false_reports = false; ///< Upstreams report no load and the usual speed all the time.
    std::uint64_t seed = 1;
    absl::Duration length = absl::Seconds(30);
    router_policy routing_policy = {};
};

/// Measurements of one run.
struct uneven_load_outcome {
    std::int64_t requests = 0;
    double lookups_in_time = 0; ///< Share of the lookups that end within their target latency.
    double uploads_in_time = 0;
    double lookups_given_up = 0; ///< Share of the lookups without a response by their deadline.
    absl::Duration lookup_p99;   ///< Lookups that were given up count with their deadline.
    absl::Duration upload_p99;
    double busiest_to_mean = 0; ///< Requests at the busiest upstream, relative to the mean of all.
    double remote_share = 0;    ///< Share of the requests that left their data centre.
};

uneven_load_outcome run_uneven_load(const uneven_load_scenario& scenario);

} // namespace amaranthladder
