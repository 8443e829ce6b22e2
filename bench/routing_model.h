#pragma once

#include "routing/router.h"
#include "routing/slot_limiter.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// A service of the design page, with its network.
struct service_profile {
    std::string name;
    int workers = 6;
    int slots = 6;
    int max_connections = 100;        ///< Connections that one upstream accepts.
    absl::Duration caller_delay;      ///< One way, caller to entry.
    absl::Duration data_center_delay; ///< One way, between data centres.
    absl::Duration connect_time = absl::Milliseconds(1);
    absl::Duration service_time = absl::Milliseconds(20);    ///< Mean of an ordinary request.
    absl::Duration caller_timeout = absl::Milliseconds(250); ///< Of the caller of an ordinary request.

    /// @return requests a second that all slots can serve.
    double capacity() const {
        return workers * slots / absl::ToDoubleSeconds(service_time);
    }
};

service_profile werkbank_profile();
service_profile tienda_profile();

/// What is wrong with worker 0.
enum class worker_fault {
    none,
    slow,     ///< Ten times the service time.
    failing,  ///< Answers half of its requests at once with an error.
    refusing, ///< Refuses connections.
    lying,    ///< Reports that it is idle.
    shedding, ///< Runs only half of its announced slots and answers the rest at once with status 503.
    leaving,  ///< Leaves at 20% of the run, is replaced at 40% by a cold one.
};

std::string_view name(worker_fault value);

/// A part of a run with a constant load.
struct load_phase {
    absl::Duration length;
    double load; ///< Arrivals over capacity.
};

/// One run of the model.
struct routing_scenario {
    std::string name;
    service_profile profile;
    std::vector<load_phase> phases;
    worker_fault fault = worker_fault::none;
    bool has_lagging_reports = false; ///< Load reports show the state of up to two seconds ago.
    double price_share = 0;           ///< Share of price lookups: a quarter of the service time, 40 ms of patience.
    bool is_baseline = false; ///< Random choice, two retries of any failure, no budget, no limit, no cancellation.
    std::uint64_t seed = 1;
    router_policy routing_policy = {};
    slot_limiter_policy limiter_policy = {};
};

/// Figures of one run.
struct routing_outcome {
    std::int64_t calls = 0;
    std::int64_t good_calls = 0; ///< Whole answers that reached the caller in time.
    std::int64_t price_calls = 0;
    std::int64_t good_price_calls = 0;
    std::int64_t attempts = 0;                 ///< Calls of entries to owners, the stricter count of upstream calls.
    std::int64_t faulty_attempts = 0;          ///< Those to worker 0.
    std::int64_t refused_calls = 0;            ///< Calls answered with a "not run" refusal.
    absl::Duration median_latency;             ///< Of good answers, at the caller.
    absl::Duration p99_latency;                ///< 99 in 100 good answers are quicker.
    std::vector<std::int64_t> calls_by_second; ///< By second of the call's start.
    std::vector<std::int64_t> good_by_second;  ///< By second of the answer's arrival.

    double good_share() const;
    double good_price_share() const;
    double attempts_per_call() const;

    /// @return good answers a second between two seconds of the run, the second one excluded.
    double good_rate(int from_second, int to_second) const;
};

/// Plays a scenario with the classes of src/routing on fake callers, network and upstreams.
routing_outcome run_routing_scenario(const routing_scenario& scenario);

} // namespace amaranthladder
