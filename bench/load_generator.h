#pragma once

#include "common/duration_histogram.h"
#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranthladder {

/// One address that receives requests, and what to ask it for.
struct load_target {
    std::string name;
    endpoint address;
    std::string path = "/";
    std::string method = "GET";
    std::size_t body_bytes = 0;
};

/// The load to generate. All targets get the same rate at the same time, so that their figures can be compared.
struct load_options {
    std::vector<load_target> targets;
    double calls_per_second = 200; ///< For each target.
    absl::Duration duration = absl::Seconds(10);
    int connections = 100; ///< For each target.
    absl::Duration call_timeout = absl::Seconds(5);
};

/// What one target answered.
struct load_result {
    std::string name;
    duration_histogram latency;                   ///< From the planned start of each call to the end of its answer.
    std::map<int, std::uint64_t> calls_by_status; ///< 0: no answer.
    std::uint64_t calls = 0;
};

/// Sends calls at a fixed rate, independent of the answers, and measures their latencies.
/// @return one result for each target.
std::vector<load_result> generate_load(const load_options& options);

} // namespace amaranthladder
