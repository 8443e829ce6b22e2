#pragma once

#include "moves/move_engine.h"
#include "moves/move_policy.h"
#include "moves/move_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace amaranthladder::bench {

/// How one version answers at one moment.
struct version_behavior {
    double failure_rate = 0.001;
    double refusal_rate = 0;
    double slowness = 1; ///< Factor on the usual latency.
};

/// What a behaviour may depend on.
struct call_context {
    move_side side = move_side::old_version;
    int route = 0;                ///< Route 0 gets half of the calls, the others share the rest.
    double elapsed_seconds = 0;   ///< Since the move was declared.
    double window_seconds = 0;    ///< Seconds from the declaration to the deadline.
    double new_version_share = 0; ///< Part of the recent calls that the new version got.
    std::size_t owner = 0;
};

enum class expected_outcome { done_in_time, done, rolled_back };

/// A daemon or a link that fails for a while. Times are parts of the window.
struct interruption {
    enum class fault_kind { restart, pause, partition, reported_down };
    fault_kind kind = fault_kind::restart;
    double from = 0;
    double to = 0;
    std::function<bool(std::size_t daemon)> affects; ///< For a partition: the daemons of one side.
};

/// One row of the fault table: traffic, a fault, and the stated outcome.
struct scenario {
    std::string name;
    expected_outcome expected = expected_outcome::done_in_time;
    std::function<version_behavior(const call_context&)> behavior = [](const call_context&) {
        return version_behavior{};
    };
    double calls_per_second = 100;
    absl::Duration window = absl::Minutes(1);
    std::size_t old_owners = 5;
    std::size_t new_owners = 5;
    bool is_store_down = false;
    double clock_offset_seconds = 0; ///< Largest difference of a daemon's clock.
    std::vector<interruption> interruptions;
    bool is_slow_fault = false; ///< Counted with the goal for slowness in place of the one for outright failure.
};

/// How the shares are moved.
enum class controller_kind { engine, baseline };

struct run_options {
    controller_kind controller = controller_kind::engine;
    move_policy policy;
    std::uint64_t seed = 1;
    std::string* recorded_calls = nullptr; ///< Gets one line per answered call, in the form of src/tests/traces.
    bool sends_urgent_directly = true;     ///< Urgent records go to all daemons of the service at once, beside gossip.
};

/// What one run showed.
struct run_result {
    move_verdict verdict = move_verdict::under_way;
    bool verdicts_agree = false;    ///< All daemons ended with one verdict.
    bool has_reverted = false;      ///< A daemon's verdict went to a lower value.
    double completed_seconds = -1;  ///< Declaration to completion; -1 if it was not completed.
    double fault_seconds = -1;      ///< First answer that showed the fault; -1 if there was none.
    double rollback_seconds = -1;   ///< Declaration to the rollback; -1 if there was none.
    double zero_share_seconds = -1; ///< From fault_seconds to the last call that the new version got.
    double exposed_calls = 0;       ///< Calls to the new version from fault_seconds on.
    double new_version_calls = 0;
    double max_unproven_share =
        0; ///< Largest share applied by any daemon before the new version had answered 20 calls.
    double control_bytes_per_daemon_second = 0;
    result_code reason = result_code::ok;
    std::string route;
    std::string trace; ///< One line per change of a daemon's state, if asked for.
};

/// Runs one scenario with several daemons' engines in one process and simulated time.
/// @param row the scenario.
/// @param options seed, policy and mover.
/// @param is_traced true to fill run_result::trace.
run_result run_move(const scenario& row, const run_options& options, bool is_traced = false);

/// @return true if @p result is the stated outcome of @p row.
bool has_expected_outcome(const scenario& row, const run_result& result);

/// @return the rows of the fault table of moves.
std::vector<scenario> fault_table();

} // namespace amaranthladder::bench
