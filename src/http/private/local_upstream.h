#pragma once

#include "http/private/slot_semaphore.h"
#include "peers/upstream_record.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <utility>

namespace amaranthladder {

/// An upstream beside this daemon, with the limit of its slots.
struct local_upstream {
    upstream_record record;
    bool is_version_refused = false; ///< Its version was taken back; other versions serve the requests.
    absl::Time unreachable_until = absl::InfinitePast(); ///< Connections to it failed a moment ago.
    std::shared_ptr<slot_semaphore> semaphore;           ///< Shared with the requests that hold or wait for a slot.
};

} // namespace amaranthladder
