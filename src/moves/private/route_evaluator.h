#pragma once

#include "common/result_code.h"
#include "moves/move_policy.h"
#include "moves/move_record.h"
#include "moves/private/call_count_delta.h"
#include "moves/private/failure_rate_detector.h"
#include "moves/private/latency_histogram.h"
#include "moves/private/slowdown_detector.h"

#include <absl/time/time.h>

#include <deque>
#include <optional>

namespace amaranthladder {

/// Call counts with exponential decay.
struct decayed_calls {
    double good = 0;
    double failed = 0;
    double refused = 0;
    latency_histogram latency;
    absl::Time counted_at = absl::InfinitePast();

    double calls() const {
        return good + failed + refused;
    }
    double bad_rate() const {
        return calls() > 0 ? (failed + refused) / calls() : 0;
    }
    /// Decays the counts up to @p now.
    void decay(absl::Time now, absl::Duration half_life);
    void add(const call_count_delta& delta, double weight);
};

/// A suspected fault of the new version.
struct suspected_fault {
    result_code reason = result_code::move_taken_back_failures;
    absl::Time started_at;      ///< Estimated start of the fault; infinite for slowness.
    double bad_rate = 0;        ///< Rate of bad calls since started_at; 0 for slowness.
    double threshold_ratio = 0; ///< Test statistic divided by its threshold; from 1 on, a fault is detected.
};

/// Result of checking a suspected fault against the old version's calls of the same period.
enum class confirmation { undecided, confirmed, refuted };

/// Compares the calls of one route (or of all routes together) to the new version with those to the old version.
class route_evaluator {
public:
    explicit route_evaluator(const move_policy& policy);

    void add(const call_count_delta& delta, absl::Time now);

    /// Updates the tests that run at regular intervals.
    /// @param is_old_idle true if the old version gets no calls because the move is complete.
    /// @param now current time.
    void tick(bool is_old_idle, absl::Time now);

    /// Updates the slowness test of a daemon that knows only its own calls of the new version: compares them with those
    /// before the present stage.
    void tick_without_old_version(absl::Time now);

    /// Called when the stage changes.
    void begin_stage() {
        m_new_before_stage = m_new_total.latency;
    }

    /// @return ratio of the median latencies in the slowness test.
    double slow_ratio() const {
        return m_slowness.ratio();
    }

    /// @return the fault with the highest threshold_ratio, even if it is low.
    suspected_fault strongest_fault() const;

    /// @return true if no test suspects a fault, so the share of the new version may grow.
    bool allows_growth() const;

    /// Checks whether the old version's calls rule out a cause common to both versions.
    /// @param fault a fault returned by strongest_fault().
    /// @param since time at which calls to the new version were stopped.
    /// @return confirmed if only the new version is affected, refuted if not, undecided while old calls are missing.
    confirmation check(const suspected_fault& fault, absl::Time since) const;

    /// Restarts the tests after a refuted fault and raises their thresholds.
    void reset_after_false_alarm();

    /// @return true if both versions are failing, or much slower than the old version usually is. With too few new
    /// calls the old version alone decides.
    bool are_both_versions_degraded(absl::Time now) const;

    /// @return call counts of @p side since the move started.
    call_summary summary(move_side side) const;

    /// @return number of calls of @p side since the move started.
    double calls(move_side side) const;

    /// @return recent calls per second to both versions.
    double call_rate(absl::Time now) const;

private:
    struct totals {
        double good = 0;
        double failed = 0;
        double refused = 0;
        latency_histogram latency;
    };

    double base_rate(double bad) const;
    void add_old_period(const call_count_delta& delta, absl::Time now);
    confirmation check_bad_rate(const suspected_fault& fault) const;
    confirmation check_slowness(const suspected_fault& fault, absl::Time since) const;
    const totals& side_totals(move_side side) const {
        return side == move_side::new_version ? m_new_total : m_old_total;
    }

    move_policy m_policy;
    failure_rate_detector m_failures;
    failure_rate_detector m_refusals;
    slowdown_detector m_slowness;
    decayed_calls m_old_medium; ///< Gives the base rate of the failure tests.
    decayed_calls m_old_short;  ///< Current behaviour of the old version.
    decayed_calls m_old_long;   ///< Usual behaviour of the old version.
    decayed_calls m_new_short;
    decayed_calls m_rate;                       ///< Calls of both versions.
    std::deque<call_count_delta> m_old_periods; ///< Calls of the old version, for check().
    totals m_new_total;
    latency_histogram m_new_before_stage; ///< Of the new version, before the present stage.
    totals m_old_total;
    absl::Time m_first_call = absl::InfiniteFuture();
};

} // namespace amaranthladder
