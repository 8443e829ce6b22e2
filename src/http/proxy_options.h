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
    /// Address for the requests of other daemons; without an address they come to listen_address.
    endpoint owner_address;
    queue_order waiting_order = queue_order::earliest_deadline; ///< Of the requests that wait at an upstream.
    std::string caller_service; ///< Service of the upstream beside this daemon, told to other upstreams.
    header_names headers;
    std::size_t max_connections = 2000;
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    /// A body up to this size is held whole and can be sent again; a larger one is streamed.
    std::size_t body_buffer_bytes = std::size_t{64} * 1024;
    /// An answer up to this size is held whole by the entry, so that a broken one can be replaced by another attempt.
    std::size_t response_buffer_bytes = std::size_t{1024} * 1024;
    absl::Duration connect_timeout = absl::Milliseconds(250);
    absl::Duration first_byte_timeout = absl::Seconds(5);
    /// Time for a request's headers once their first byte has arrived.
    absl::Duration header_timeout = absl::Seconds(10);
    /// Time that a kept connection of a caller may wait for its next request.
    absl::Duration keep_alive_timeout = absl::Seconds(60);
    /// Time without progress after which the transfer of a body is given up.
    absl::Duration body_idle_timeout = absl::Seconds(30);
    /// Idle time up to which a kept connection to an upstream is used for a non-idempotent request.
    absl::Duration max_idle_non_idempotent = absl::Seconds(1);
    absl::Duration default_timeout = absl::Seconds(15);
    absl::Duration drain_timeout = absl::Seconds(60);
};

} // namespace amaranthladder
