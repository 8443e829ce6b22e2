#pragma once

#include "common/endpoint.h"
#include "common/result_code.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>

namespace amaranthladder {

/// Outcome of a call to a local upstream, for the comparison of versions during a move.
struct upstream_call_result {
    enum class outcome {
        succeeded, ///< The response has a status below 500.
        failed,    ///< A status of 500 or above except 503, no response, or a truncated one.
        refused,   ///< Status 503, not executed, or no slot granted.
    };

    std::string service;
    std::string version;
    std::string route;
    outcome result = outcome::succeeded;
    absl::Duration latency; ///< From the acquisition of the slot to the response's header.
    absl::Time reported_at;
};

/// Receives what the data path learns about local upstreams. Called on the event loop's thread.
struct upstream_observer {
    /// Called for each call to a local upstream.
    std::function<void(const upstream_call_result&)> on_call;
    /// Called once when a local upstream says in a response that it leaves.
    std::function<void(const std::string& id)> on_leaving;
    /// Called when the state of a local upstream must be read with a health check. May be empty.
    std::function<void(const std::string& id, const endpoint& address)> on_check_due = {};
};

/// Counters of the data path since the start of the daemon, and its current connections and requests.
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
    std::uint64_t rate_limit_changes = 0;     ///< Of local upstreams, as named in their responses.
    std::uint64_t malformed_rate_limits = 0;  ///< Responses with a rate limit that is not a number.
    std::uint64_t surplus_responses = 0;      ///< Responses of upstreams to requests that had been answered before.
    std::uint64_t refusals_missing_key = 0;   ///< Callers' requests without a key for a route that needs one.
    std::uint64_t refusals_unknown_key = 0;   ///< Callers' requests with a key that no tenant holds.
    std::uint64_t refusals_withdrawn_key = 0; ///< Requests whose key or route was changed while they waited.
    std::uint64_t bodies_received = 0;        ///< Bodies that this owner has asked entries for.
    std::uint64_t bodies_refused = 0;         ///< Requests refused before their bodies were sent.
    std::uint64_t malformed_server_loads = 0; ///< Responses with a load report that cannot be read.
    std::uint64_t nested_requests = 0;        ///< Requests to local upstreams that were taken for nested calls.
    std::uint64_t delayed_requests = 0;       ///< Requests of entries that were delayed on the way.
    std::uint64_t remote_attempts = 0;        ///< Attempts at upstreams of other data centres.
    std::uint64_t remote_bytes = 0;           ///< Bytes of the bodies of those that were answered, as declared.
    std::uint64_t link_bytes = 0;             ///< Moved over the host's link, in both directions.
    double link_utilisation = 0;              ///< Of the host's link over the last tenths of a second; 0 if unknown.
    double work_factor = 1; ///< Of the slowest local upstream: time that its work takes now, relative to the usual one.
    std::uint64_t refusals_evacuated = 0;    ///< Of the owner, since its data centre is evacuated.
    std::uint64_t refusals_cold = 0;         ///< Of the owner, while its upstream is cold.
    std::uint64_t cold_periods = 0;          ///< Times at which a local upstream became cold or unknown.
    std::uint64_t unknown_rate_limits = 0;   ///< Local upstreams whose rate limit was unknown when they were recalled.
    std::uint64_t rate_limit_checks = 0;     ///< Health checks because the first response of such an upstream was late.
    std::uint64_t cold_checks = 0;           ///< Health checks to find out whether a local upstream is cold.
    std::uint64_t upstreams_cold = 0;        ///< Local upstreams that are cold now.
    std::uint64_t refusals_for_shortage = 0; ///< At once, since the service is short; also in refusals_not_run.
    std::uint64_t requests_in_flight = 0;
    std::uint64_t idle_upstream_connections = 0;
};

} // namespace amaranthladder
