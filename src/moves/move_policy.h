#pragma once

#include <absl/time/time.h>

#include <array>

namespace amaranthladder {

/// Parameters of the move engine; docs/moves.md gives the reasons. Tests and the bench vary them.
struct move_policy {
    static constexpr int stage_count = 8;
    /// Share of the calls that the new version gets, by stage.
    static constexpr std::array<double, stage_count> stage_shares{0.0, 0.001, 0.01, 0.05, 0.15, 0.40, 1.0, 1.0};
    static constexpr int first_stage = 1;         ///< First stage in which the new version gets calls.
    static constexpr int last_unproven_stage = 3; ///< Last stage of the trial, with at most 5% of the calls.
    static constexpr int completed_stage = 6;     ///< The new version gets all calls and is still watched for faults.
    static constexpr int finished_stage = 7;      ///< The watch has ended.

    std::array<double, stage_count> shares = stage_shares; ///< Shares in use; those of orders differ.
    int last_trial_stage = last_unproven_stage;            ///< Last stage in use with at most 5% of the calls.

    // Schedule. Fractions refer to the time from the start of the move to its deadline (the window).
    std::array<double, stage_count> dwell{0, 0.02, 0.03, 0.15, 0.12, 0.12, 0, 0}; ///< Minimum time in a stage.
    /// A stage ends this long before the deadline even with too few calls, unless a fault is suspected.
    std::array<double, stage_count> forced_exit_lead{0.45, 0.40, 0.37, 0.30, 0.20, 0.10, 0, 0};
    double forced_dwell = 0.03; ///< Minimum time in a stage that ends because the deadline is near.
    absl::Duration forced_dwell_max = absl::Seconds(60);
    /// Minimum time at the full share before completion, also near the deadline; zero: completed with the full share.
    absl::Duration full_share_observation = absl::ZeroDuration();
    absl::Duration rate_observation_time = absl::Seconds(3); ///< Time for measuring the call rate before the start.
    double first_stage_max_calls_per_second = 10;            ///< Limit for the new version in the first stage.
    double min_stage_calls = 20;                             ///< Calls to the new version that prove a stage.
    absl::Duration watch_min = absl::Seconds(60); ///< Watch after completion: half the window, within these bounds.
    absl::Duration watch_max = absl::Minutes(30);
    /// A move that is incomplete this long after the deadline is rolled back: half the window, within these bounds.
    absl::Duration deadline_grace_min = absl::Seconds(30);
    absl::Duration deadline_grace_max = absl::Minutes(10);

    // Statistical tests.
    double log_false_alarm_odds = 9.2; ///< Natural log of the odds against a false alarm of one test (10,000 to 1).
    double suspicion_ratio = 0.5;  ///< Fraction of a test's threshold from which a fault is suspected and growth stops.
    double base_rate_factor = 1.5; ///< The new version may fail at this multiple of the old version's rate
    double base_rate_floor = 0.005;                ///< plus this rate.
    double slow_ratio = 1.5;                       ///< Ratio of the median latencies (new to old) that counts as slow.
    double growth_blocking_slow_ratio = 1.25;      ///< Ratio of the median latencies that stops growth.
    absl::Duration stratum_min = absl::Seconds(1); ///< Minimum time in which latencies are collected for a comparison.
    /// Shortest of the half-lives with which latencies are summed. Calls from before a fault dilute shorter tests less.
    absl::Duration shortest_half_life = absl::Milliseconds(1'500);
    double slow_min_calls = 8; ///< Minimum calls to the new version for the slowdown test.
    /// True: the slowness test takes no calls while a fault is being confirmed. A version that is slow only under load
    /// is fast again once the first daemons have stopped its calls, which would refute the fault.
    bool freezes_latencies_when_suspended = false;
    bool waits_for_confirmation = true; ///< False: rolls back without checking the old version (for comparison).
    absl::Duration confirmation_margin = absl::Seconds(1); ///< Bound on the error in the time of a remote count.
    absl::Duration suspension_max = absl::Minutes(10);     ///< A move suspended for this long is rolled back.
    absl::Duration suspension_min = absl::Seconds(10);     ///< The same after the deadline of an incomplete move.
    absl::Duration watch_fault_min = absl::Seconds(1);     ///< Minimum duration of a fault during the watch.
    /// Share of the new version while a completed move is held; the remaining calls show the old version's state.
    double held_watch_share = 0.9;
    /// A held move resumes once the versions have not both been degraded for this long.
    absl::Duration recovery_time = absl::Seconds(3);

    /// True: a daemon that does not decide stops the calls to a faulty new version beside it on its own evidence,
    /// because the verdict takes longer than the exposure allows at the full share.
    bool suspends_at_owner = false;
    /// Such a daemon resumes without a verdict after this time.
    absl::Duration owner_suspension_max = absl::Seconds(2);
    /// Ratio of the median latencies (full share to earlier stages) at which it does so. Above slow_ratio, because a
    /// good version may become slower when it gets the load of all upstreams.
    double owner_slow_ratio = 2.5;

    // Exchange of call counts.
    absl::Duration publish_interval = absl::Seconds(1);       ///< Minimum interval between sends of a row.
    absl::Duration urgent_interval = absl::Milliseconds(500); ///< The same while a daemon suspects a fault.
    absl::Duration heartbeat_interval = absl::Seconds(5);     ///< Unchanged rows are sent again at this interval.
    absl::Duration contributor_timeout = absl::Seconds(15);   ///< A contributor silent for longer counts as absent.
    absl::Duration max_tick_gap = absl::Seconds(3);  ///< A longer gap between ticks means that this process was paused.
    absl::Duration pause_grace = absl::Seconds(3);   ///< No decisions for this time after such a pause.
    std::size_t max_contributors = 512;              ///< Other daemons whose call counts are kept per move.
    std::size_t max_routes = 8;                      ///< Routes with separate counts; further routes share a row.
    absl::Duration ended_retention = absl::Hours(1); ///< Records of moves that are not declared are kept this long.
    std::size_t max_records = 4096;                  ///< Maximum number of moves held, declared or not.
};

/// @return the policy for operators' orders of 10 to 16 s. The full share is observed before completion, because the
/// old upstreams stop at completion; the shares rise late and the tests run faster, so that a version that fails only
/// at the full share gets at most 0.1 of the window's calls.
inline move_policy order_move_policy() {
    move_policy policy;
    policy.shares = {0.0, 0.01, 0.05, 0.15, 0.40, 1.0, 1.0, 1.0};
    policy.last_trial_stage = 2;
    policy.dwell = {0, 0.05, 0.25, 0.05, 0.05, 0.20, 0, 0};
    policy.forced_exit_lead = {0.75, 0.65, 0.50, 0.40, 0.32, 0.12, 0, 0};
    policy.forced_dwell = 0.06;
    policy.full_share_observation = absl::Milliseconds(1'500);
    policy.first_stage_max_calls_per_second = 20;
    policy.confirmation_margin = absl::Milliseconds(300);
    policy.recovery_time = absl::Seconds(1);
    policy.publish_interval = absl::Milliseconds(100);
    policy.urgent_interval = absl::Milliseconds(100);
    policy.stratum_min = absl::Milliseconds(200);
    // Short tests exceed a ratio of 1.25 by chance, which held moves at 40% until the exposure was spent.
    policy.growth_blocking_slow_ratio = policy.slow_ratio;
    policy.shortest_half_life = absl::Milliseconds(200);
    policy.freezes_latencies_when_suspended = true;
    policy.suspends_at_owner = true;
    return policy;
}

} // namespace amaranthladder
