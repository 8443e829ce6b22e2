#pragma once

#include "http/private/slot_semaphore.h"
#include "peers/upstream_record.h"
#include "routing/server_load.h"
#include "routing/upstream_signals.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <utility>

namespace amaranthladder {

/// A local upstream: one that runs on this host and whose owner is this daemon.
struct local_upstream {
    upstream_record record;
    bool is_version_refused = false; ///< Its version was rolled back; other versions serve the requests.
    absl::Time unreachable_until = absl::InfinitePast(); ///< Requests are refused until then after a failed connection.
    requested_rate_limit rate_limit;
    server_load load;              ///< Its load and speed, as reported and as measured here.
    bool is_cold = false;          ///< As last logged; only for services that limit cold upstreams.
    bool has_said_leaving = false; ///< A response of this upstream said so.
    /// A response of this upstream has carried the id of its request, so a refusal without one is to another request.
    bool echoes_request_ids = false;
    std::shared_ptr<slot_semaphore>
        semaphore; ///< Limits its concurrent requests; shared with those that hold or wait for a slot.
};

} // namespace amaranthladder
