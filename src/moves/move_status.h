#pragma once

#include "common/result_code.h"
#include "moves/move_record.h"

#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// A move as `status` and `explain MOVE` show it.
struct move_status {
    move_identity identity;
    std::string service;
    std::string from_version;
    std::string to_version;
    double share = 0; ///< Share of the new version that this daemon applies.
    int stage = 0;
    std::string state; ///< State of charts/move.ini.
    absl::Time started_at;
    absl::Time deadline;
    absl::Time forecast; ///< When the new version is expected to have the whole share; infinite if unknown.
    move_verdict verdict = move_verdict::under_way;
    result_code reason = result_code::ok; ///< move_taken_back_*, move_held while paused, move_done, move_late, ...
    bool is_final = false;                ///< The outcome can be reported.
    absl::Time ended_at;                  ///< Time of the verdict; infinite while under way.
    std::string decided_by;               ///< Daemon that rolled the move back.
    std::string route;                    ///< Route with the deciding evidence.
    call_summary new_version;
    call_summary old_version;
    std::size_t contributors = 0; ///< Daemons with recent evidence.
};

} // namespace amaranthladder
