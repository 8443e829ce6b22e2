#pragma once

#include "routing/router.h"
#include "routing/slot_limiter.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Size, load limits and network delays of a modelled service. The two profiles are those of the design page.
struct service_profile {
    std::string name;
    int workers = 6;
    int slots = 6;
    int max_connections = 100;        ///< Open connections that one upstream accepts.
    absl::Duration caller_delay;      ///< One-way delay between caller and entry.
    absl::Duration data_center_delay; ///< One-way delay between data centres.
    absl::Duration connect_time = absl::Milliseconds(1);
    absl::Duration service_time = absl::Milliseconds(20);    ///< Mean service time of an ordinary request.
    absl::Duration caller_timeout = absl::Milliseconds(250); ///< Timeout of an ordinary request at its caller.

    /// @return ordinary requests per second that all slots together can serve.
    double capacity() const {
        return workers * slots / absl::ToDoubleSeconds(service_time);
    }
};

service_profile werkbank_profile();
service_profile tienda_profile();

/// The fault of worker 0.
enum class worker_fault {
    none,
    slow,     ///< Ten times the service time.
    failing,  ///< Fails half of its requests immediately.
    refusing, ///< Refuses connections.
    lying,    ///< Reports that it is idle.
    shedding, ///< Uses only half of its announced slots and rejects further requests immediately with status 503.
    leaving,  ///< Leaves at 20% of the run; at 40% a replacement starts cold.
};

std::string_view name(worker_fault value);

/// A period of a run with constant load.
struct load_phase {
    absl::Duration length;
    double load; ///< Arrival rate as a fraction of the capacity.
};

/// The parameters of one simulated run.
struct routing_scenario {
    std::string name;
    service_profile profile;
    std::vector<load_phase> phases;
    worker_fault fault = worker_fault::none;
    bool has_lagging_reports = false; ///< Load reports are up to two seconds old.
    double price_share = 0;           ///< Fraction of price lookups: a quarter of the service time, a timeout of 40 ms.
    bool is_baseline = false;         ///< Random choice, two retries of any failure, no budget, limit or cancellation.
    std::uint64_t seed = 1;
    router_policy routing_policy = {};
    slot_limiter_policy limiter_policy = {};
};

/// Measurements of one run.
struct routing_outcome {
    std::int64_t calls = 0;
    std::int64_t good_calls = 0; ///< Calls whose complete response reached the caller in time.
    std::int64_t price_calls = 0;
    std::int64_t good_price_calls = 0;
    std::int64_t attempts = 0;        ///< Calls from entries to owners; at least as many as calls to upstreams.
    std::int64_t faulty_attempts = 0; ///< Attempts at worker 0.
    std::int64_t refused_calls = 0;   ///< Calls refused with the outcome "not run".
    absl::Duration median_latency;    ///< Of good calls, at the caller.
    absl::Duration p99_latency;       ///< Of good calls, at the caller.
    std::vector<std::int64_t> calls_by_second; ///< Calls by the second of their start.
    std::vector<std::int64_t> good_by_second;  ///< Good calls by the second in which the response arrived.

    /// @return good calls as a fraction of all calls.
    double good_share() const;

    /// @return good price lookups as a fraction of all price lookups.
    double good_price_share() const;

    /// @return attempts per call, which shows the amplification by retries.
    double attempts_per_call() const;

    /// @return good calls per second from @p from_second up to, but not including, @p to_second.
    double good_rate(int from_second, int to_second) const;
};

/// Simulates a scenario: the classes of src/routing with simulated callers, network and upstreams.
routing_outcome run_routing_scenario(const routing_scenario& scenario);

} // namespace amaranthladder
