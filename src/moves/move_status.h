#pragma once

#include "common/result_code.h"
#include "moves/move_record.h"

#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// The state of a move as shown by `status` and `explain MOVE`.
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
    absl::Time forecast; ///< Expected completion; infinite if unknown.
    move_verdict verdict = move_verdict::under_way;
    result_code reason = result_code::ok; ///< move_taken_back_*, move_held while paused, move_done, move_late, ...
    bool is_final = false;                ///< The outcome is decided and can be reported.
    absl::Time ended_at;                  ///< Time of completion or rollback; infinite while under way.
    std::string decided_by;               ///< Daemon that rolled the move back.
    std::string route;                    ///< Route whose calls decided the rollback; empty for all routes together.
    call_summary new_version;
    call_summary old_version;
    std::size_t contributors = 0; ///< Other daemons with recent call counts.
};

} // namespace amaranthladder
