#pragma once

#include "common/result_code.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace amaranthladder {

/// A call that the upstream beside this daemon has answered, failed or refused.
struct upstream_call_result {
    enum class outcome {
        succeeded, ///< A whole answer with a status below 500.
        failed,    ///< An answer with a status of 500 or above, none, or a broken one.
        refused,   ///< An answer with status 503, or no slot in time.
    };

    std::string service;
    std::string version;
    std::string route;
    outcome result = outcome::succeeded;
    absl::Duration latency; ///< From the slot's grant to the response's header.
    absl::Time reported_at;
};

/// Counts of the data path since the start of the daemon.
struct proxy_counters {
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_refused = 0;
    std::uint64_t connections_open = 0;
    std::uint64_t malformed_requests = 0;
    std::uint64_t entry_requests = 0;
    std::uint64_t owner_requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t refusals_not_run = 0;
    std::uint64_t refusals_may_have_run = 0;
    std::uint64_t requests_in_flight = 0;
    std::uint64_t idle_upstream_connections = 0;
};

} // namespace amaranthladder
