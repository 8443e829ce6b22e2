#pragma once

#include "common/duration_histogram.h"
#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranthladder {

/// An address to send requests to, and the request to send.
struct load_target {
    std::string name;
    endpoint address;
    std::string path = "/";
    std::string method = "GET";
    std::size_t body_bytes = 0;
};

/// The load to generate. All targets get the same rate at the same time, so that their latencies are comparable.
struct load_options {
    std::vector<load_target> targets;
    double calls_per_second = 200; ///< Per target.
    absl::Duration duration = absl::Seconds(10);
    int connections = 100; ///< Per target.
    absl::Duration call_timeout = absl::Seconds(5);
};

/// Latencies and statuses of the calls to one target.
struct load_result {
    std::string name;
    duration_histogram latency;                   ///< From the planned start of each call to the end of its response.
    std::map<int, std::uint64_t> calls_by_status; ///< Status 0: no response.
    std::uint64_t calls = 0;
};

/// Sends calls at a fixed rate that does not depend on the responses (open loop) and measures their latencies.
/// @return one result for each target, in the order of the targets.
std::vector<load_result> generate_load(const load_options& options);

} // namespace amaranthladder
