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

/// How a version responds to calls at one point in time.
struct version_behavior {
    double failure_rate = 0.001;
    double refusal_rate = 0;
    double slowness = 1; ///< Factor of the usual latency.
};

/// The circumstances of a call that the behaviour of a version may depend on.
struct call_context {
    move_side side = move_side::old_version;
    int route = 0;                ///< Route 0 gets half of the calls, the other routes get equal parts of the rest.
    double elapsed_seconds = 0;   ///< Since the declaration of the move.
    double window_seconds = 0;    ///< Seconds from the declaration to the deadline.
    double new_version_share = 0; ///< Fraction of the recent calls that went to the new version.
    std::size_t owner = 0;
};

enum class expected_outcome { done_in_time, done, rolled_back };

/// A temporary fault of daemons or of the network between them. Times are fractions of the window.
struct interruption {
    enum class fault_kind { restart, pause, partition, reported_down };
    fault_kind kind = fault_kind::restart;
    double from = 0;
    double to = 0;
    std::function<bool(std::size_t daemon)> affects; ///< Selects daemons; for a partition, those on one side.
};

/// One row of the fault table: traffic, faults, and the expected outcome.
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
    double clock_offset_seconds = 0; ///< Largest offset of a daemon's clock from the true time.
    std::vector<interruption> interruptions;
    bool is_order = false;             ///< An operator's order: three daemons decide, evidence goes to these only.
    double load_half_life_seconds = 1; ///< Of the calls counted in call_context::new_version_share.
    bool is_slow_fault = false; ///< Counts towards the goal for slow versions instead of the one for failing versions.
};

/// What controls the shares of the versions: the move engines of the daemons, or the baseline controller.
enum class controller_kind { engine, baseline };

struct run_options {
    controller_kind controller = controller_kind::engine;
    move_policy policy;
    move_policy order_policy = order_move_policy();
    std::uint64_t seed = 1;
    std::string* recorded_calls = nullptr; ///< If set, gets one line per call, in the format of src/tests/traces.
    bool sends_urgent_directly = true;     ///< Urgent records also go directly to all daemons of the service.
};

/// Outcome and measurements of one run. Durations are in seconds.
struct run_result {
    move_verdict verdict = move_verdict::under_way;
    bool verdicts_agree = false;   ///< All daemons ended with the same verdict.
    bool has_reverted = false;     ///< A daemon's verdict changed to a lower value.
    bool was_completed = false;    ///< A daemon has seen the move as completed, also if it was rolled back later.
    double completed_seconds = -1; ///< From the declaration to the completion; -1 if the move was not completed.
    double fault_seconds = -1;    ///< From the declaration to the first response that showed the fault; -1 if none did.
    double rollback_seconds = -1; ///< From the declaration to the rollback; -1 if there was none.
    double zero_share_seconds = -1; ///< From fault_seconds to the last call to the new version.
    double exposed_calls = 0;       ///< Calls to the new version from fault_seconds on.
    double new_version_calls = 0;
    /// Largest share that any daemon applied before the new version had completed 20 calls.
    double max_unproven_share = 0;
    double control_bytes_per_daemon_second = 0;
    result_code reason = result_code::ok;
    std::string route;
    std::string trace; ///< One line per change of a daemon's state, if requested.
};

/// Simulates one scenario with the move engines of several daemons in simulated time.
/// @param row the scenario.
/// @param options the seed, the policy and the controller.
/// @param is_traced true to fill run_result::trace.
run_result run_move(const scenario& row, const run_options& options, bool is_traced = false);

/// @return true if @p result has the expected outcome of @p row, and the daemons agree on a verdict that never
/// reverted.
bool has_expected_outcome(const scenario& row, const run_result& result);

/// @return the most calls that a bad version may get in an order's window: 0.1 of the service's calls and 50.
double exposure_bound(const scenario& row);

/// @return rows for orders of 10 to 16 s in a service with 340 calls/s.
std::vector<scenario> order_table();

/// @return the fault table: the scenarios that moves must handle.
std::vector<scenario> fault_table();

} // namespace amaranthladder::bench
