#pragma once

#include <absl/time/time.h>

#include <array>

namespace amaranthladder {

/// Constants of the policy for moves; docs/moves.md gives the reasons. Tests and the bench vary them.
struct move_policy {
    static constexpr int stage_count = 8;
    /// Share of the new version by stage.
    static constexpr std::array<double, stage_count> stage_shares{0.0, 0.001, 0.01, 0.05, 0.15, 0.40, 1.0, 1.0};
    static constexpr int first_stage = 1;         ///< Smallest share.
    static constexpr int last_unproven_stage = 3; ///< Leaving it needs proof.
    static constexpr int completed_stage = 6;     ///< The new version has the whole share and is watched.
    static constexpr int finished_stage = 7;      ///< The watch is over.

    // Schedule. Fractions are of the window from the move's start to its deadline.
    std::array<double, stage_count> dwell{0, 0.02, 0.03, 0.15, 0.12, 0.12, 0, 0}; ///< Least time in a stage.
    /// A stage is left this long before the deadline even with few calls, unless there are signs of a fault.
    std::array<double, stage_count> forced_exit_lead{0.45, 0.40, 0.37, 0.30, 0.20, 0.10, 0, 0};
    double forced_dwell = 0.03; ///< Least time in a stage when it is left for the deadline's sake.
    absl::Duration forced_dwell_max = absl::Seconds(60);
    absl::Duration rate_observation_time = absl::Seconds(3); ///< Time to learn the call rate before the first stage.
    double first_stage_max_calls_per_second = 10;            ///< The first stage is the largest below this rate.
    double min_stage_calls = 20;                             ///< Calls of the new version that a stage needs.
    absl::Duration watch_min = absl::Seconds(60);            ///< Watch after completion: half the window within bounds.
    absl::Duration watch_max = absl::Minutes(30);
    absl::Duration deadline_grace_min =
        absl::Seconds(30); ///< Time after the deadline until a held move is rolled back.
    absl::Duration deadline_grace_max = absl::Minutes(10);

    // Tests.
    double log_false_alarm_odds = 9.2; ///< Logarithm of the odds against a false alarm of one test (10,000 to 1).
    double suspicion_ratio = 0.5;      ///< Part of a test's threshold above which a stage is not left.
    double base_rate_factor = 1.5;     ///< Failure rate allowed for the new version, as a multiple of the old one's
    double base_rate_floor = 0.005;    ///< and beyond it.
    double slow_ratio = 1.5;           ///< Ratio of the medians that counts as slow.
    double growth_blocking_slow_ratio = 1.25; ///< Ratio of the medians above which a stage is not left.
    double slow_min_calls = 8;                ///< Calls of the new version that the slowness test needs.
    bool waits_for_confirmation = true; ///< False: rolls back without the old version's evidence (for comparison).
    absl::Duration confirmation_margin = absl::Seconds(1); ///< Bound on the delay error of a remote count's time.
    absl::Duration suspension_max = absl::Minutes(10);     ///< A suspicion unresolved for so long is confirmed.
    absl::Duration suspension_min = absl::Seconds(10);     ///< Same, once the deadline has passed.
    absl::Duration watch_fault_min = absl::Seconds(1);     ///< Least duration of a fault found in the watch.
    double held_watch_share = 0.9; ///< Share in a pause after completion: the rest shows the old version's state.
    absl::Duration recovery_time = absl::Seconds(3); ///< Time without trouble that ends a pause.

    // Exchange of evidence.
    absl::Duration publish_interval = absl::Seconds(2);
    absl::Duration urgent_interval = absl::Milliseconds(500);
    absl::Duration heartbeat_interval = absl::Seconds(5);
    absl::Duration contributor_timeout = absl::Seconds(15); ///< Age at which a contributor no longer counts as present.
    absl::Duration max_tick_gap = absl::Seconds(3);  ///< A longer gap between ticks means this process was paused
    absl::Duration pause_grace = absl::Seconds(3);   ///< and makes no decision for this time.
    std::size_t max_contributors = 64;               ///< Daemons whose evidence is kept per move.
    std::size_t max_routes = 8;                      ///< Routes with own counts; further ones share a row.
    absl::Duration ended_retention = absl::Hours(1); ///< Time for which an undeclared move's record is kept.
    std::size_t max_records = 4096;                  ///< Moves held, declared or not.
};

} // namespace amaranthladder
