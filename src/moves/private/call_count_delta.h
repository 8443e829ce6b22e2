#pragma once

#include "moves/move_record.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace amaranthladder {

/// The calls of one route and version counted between two times. Times are by this daemon's clock.
struct call_count_delta {
    move_side side = move_side::old_version;
    std::string route;
    absl::Time from = absl::InfinitePast(); ///< InfinitePast if the start is unknown.
    absl::Time until;
    double good = 0;
    double failed = 0;
    double refused = 0;
    std::vector<std::uint32_t> latency;

    double calls() const {
        return good + failed + refused;
    }
};

} // namespace amaranthladder
