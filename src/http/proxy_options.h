#pragma once

#include "common/endpoint.h"
#include "http/header_names.h"
#include "routing/slot_limiter.h"

#include <absl/time/time.h>

#include <cstddef>
#include <string>

namespace amaranthladder {

/// Limits and timeouts of the data path.
struct proxy_options {
    std::string mesh;
    std::string worker;
    endpoint listen_address;
    /// Address for requests of other daemons; if empty, they arrive at listen_address.
    endpoint owner_address;
    queue_order waiting_order = queue_order::earliest_deadline; ///< Order of the requests that wait for a slot.
    cold_start_policy cold;                                     ///< What a cold upstream may get.
    double max_nested_reserve = 0; ///< Share of an upstream's slots that is kept for nested calls at most.
    std::string caller_service;    ///< Service of the local upstream, sent to the upstreams that it calls.
    header_names headers;
    double link_mbps = 0; ///< Speed of the host's link in megabits per second; 0: unknown.
    std::size_t max_connections = 2000;
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    /// Request bodies up to this size are buffered and can be sent again; larger ones are streamed.
    std::size_t body_buffer_bytes = std::size_t{64} * 1024;
    /// Bodies that an owner asks an entry for are buffered up to this size, so that a slow sender holds no slot.
    std::size_t requested_body_buffer_bytes = std::size_t{512} * 1024;
    /// The entry buffers responses up to this size, so that a truncated one can be replaced by another attempt.
    std::size_t response_buffer_bytes = std::size_t{1024} * 1024;
    /// The same for all responses together; those that do not fit are streamed sooner.
    std::size_t response_buffer_total_bytes = std::size_t{8} * 1024 * 1024;
    /// Requests that a caller may send on a connection before the response to an earlier one.
    std::size_t max_requests_ahead = 16;
    /// The same for all connections together; bounds the memory that such requests take.
    std::size_t max_requests_ahead_total = 256;
    /// Responses up to this size are buffered while those to earlier requests on the connection are awaited.
    std::size_t ahead_buffer_bytes = std::size_t{64} * 1024;
    absl::Duration connect_timeout = absl::Milliseconds(250);
    absl::Duration first_byte_timeout = absl::Seconds(5);
    /// Time to receive a request's headers after their first byte.
    absl::Duration header_timeout = absl::Seconds(10);
    /// Time for which an idle connection of a caller is kept open.
    absl::Duration keep_alive_timeout = absl::Seconds(60);
    /// Time without progress after which the transfer of a body fails.
    absl::Duration body_idle_timeout = absl::Seconds(30);
    /// Longest idle time after which a pooled connection is reused for a non-idempotent request.
    absl::Duration max_idle_non_idempotent = absl::Seconds(1);
    absl::Duration default_timeout = absl::Seconds(15);
    /// Time for which an upstream is sent requests from its queue after it has said that it leaves.
    absl::Duration upstream_drain_time = absl::InfiniteDuration();
    /// Time from the start of a drain, its notice period included, after which requests in flight are given up.
    absl::Duration drain_timeout = absl::Seconds(60);
};

} // namespace amaranthladder
