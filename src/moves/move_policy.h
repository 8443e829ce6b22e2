#pragma once

#include <absl/time/time.h>

#include <array>

namespace amaranthladder {

/// Constants of the policy for moves; docs/moves.md gives the reasons. Tests and the bench vary them.
struct move_policy {
    /// Share of the new version by stage. Stages above `completed_stage` keep the whole share.
    static constexpr std::array<double, 8> stage_shares{0.0, 0.001, 0.01, 0.05, 0.15, 0.40, 1.0, 1.0};
    static constexpr int first_stage = 1;         ///< Smallest share.
    static constexpr int last_unproven_stage = 3; ///< Leaving it needs proof.
    static constexpr int completed_stage = 6;     ///< The new version has the whole share and is watched.
    static constexpr int finished_stage = 7;      ///< The watch is over.

    absl::Duration watch_min = absl::Seconds(60);
    absl::Duration watch_max = absl::Minutes(30);
};

} // namespace amaranthladder
