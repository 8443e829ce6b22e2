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

/// Decaying counts of calls.
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
    /// Lets the counts decay to @p now.
    void decay(absl::Time now, absl::Duration half_life);
    void add(const call_count_delta& delta, double weight);
};

/// A suspected fault of the new version.
struct suspected_fault {
    result_code reason = result_code::move_taken_back_failures;
    absl::Time started_at;      ///< The fault was visible from about this time.
    double bad_rate = 0;        ///< Rate of bad calls since then (failures and refusals only).
    double threshold_ratio = 0; ///< As a part of the test's threshold.
};

/// What the old version's calls of the same period say about a suspicion.
enum class confirmation { undecided, confirmed, refuted };

/// Judges the calls of one route (or of all routes together) to the new version against those to the old one.
class route_evaluator {
public:
    explicit route_evaluator(const move_policy& policy);

    void add(const call_count_delta& delta, absl::Time now);

    /// Closes what has to be judged at regular times.
    /// @param is_old_idle true if the old version gets no calls because the move is complete.
    void tick(bool is_old_idle, absl::Time now);

    /// @return the strongest evidence of a fault, even when it is weak.
    suspected_fault strongest_fault() const;

    /// @return true if there is no sign of a fault that forbids a larger share.
    bool allows_growth() const;

    /// @param suspected a suspicion of this judge.
    /// @param since time at which calls to the new version were stopped.
    /// @return whether the old version's calls exclude a cause common to both versions.
    confirmation check(const suspected_fault& fault, absl::Time since) const;

    /// Forgets the evidence after a refuted suspicion and asks for more the next time.
    void reset_after_false_alarm();

    /// @return true if both versions are in trouble: failing, or much slower than the old version was before.
    bool are_both_versions_degraded(absl::Time now) const;

    /// @return counts since the move started.
    call_summary summary(move_side side) const;

    /// @return calls since the move started.
    double calls(move_side side) const;

    /// @return calls a second to both versions over the last seconds.
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
    decayed_calls m_old_medium; ///< Base of the failure tests.
    decayed_calls m_old_short;  ///< Present state of the old version.
    decayed_calls m_old_long;   ///< What the old version is usually like.
    decayed_calls m_new_short;
    decayed_calls m_rate; ///< Calls of both versions.
    std::deque<call_count_delta> m_old_periods;
    totals m_new_total;
    totals m_old_total;
    absl::Time m_first_call = absl::InfiniteFuture();
};

} // namespace amaranthladder
