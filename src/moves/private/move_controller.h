#pragma once

#include "config/intended_state.h"
#include "moves/move_engine.h"
#include "moves/move_policy.h"
#include "moves/move_record.h"
#include "moves/move_status.h"
#include "moves/private/call_count_table.h"
#include "moves/private/route_evaluator.h"

#include <absl/time/time.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

class state_chart;

/// Runs one declaration of a move in this daemon: holds its progress and call counts, and decides when to advance,
/// suspend or roll it back.
class move_controller {
public:
    /// @param declared the move.
    /// @param chart charts/move.ini; must outlive this object.
    /// @param daemon_id this daemon.
    /// @param incarnation grows with each start of this daemon.
    /// @param policy stages, thresholds and time limits of moves.
    /// @param now current time.
    move_controller(move declared, const state_chart& chart, const std::string& daemon_id, std::uint64_t incarnation,
                    const move_policy& policy, absl::Time now);

    /// Sets the upstream beside this daemon.
    void set_upstream(const std::string& service, const std::string& version);

    /// Counts a call of the upstream beside this daemon.
    void observe(const call_sample& sample);

    /// Merges the progress recorded by another daemon or the store.
    /// @return true if @p remote changed the progress held.
    bool merge(const move_progress& remote, absl::Time now);

    /// Merges a row of another daemon's call counts.
    /// @return true if @p remote was newer than the row held.
    bool merge(const move_call_counts& remote, absl::Time now);

    /// Ends the move because its declaration was edited or removed.
    void replace();

    /// Evaluates the call counts and advances the move.
    /// @param is_decider false if other daemons decide, because this one does not receive all call counts.
    /// @param may_decide false just after a pause of this process, when its call counts are stale.
    /// @param now current time.
    void tick(bool is_decider, bool may_decide, absl::Time now);

    /// @return records that are due for sending.
    std::vector<move_record> take_due(absl::Time now);

    /// @return all records held.
    std::vector<move_record> records() const;

    /// @return the share of the new version that this daemon applies, from 0 to 1.
    double share() const;

    /// @return true if the new version is rolled back or suspended, so that this daemon sends no calls to it.
    bool refuses_new_version() const;

    /// @return true once call counts can no longer change the outcome.
    bool is_final() const;

    /// @return time since which the move is final; infinite if it is not.
    absl::Time final_since() const {
        return m_final_since;
    }

    const move& declared() const {
        return m_declared;
    }

    const move_progress& progress() const {
        return m_progress;
    }

    move_status status(absl::Time now) const;

private:
    move_identity identity() const;
    void fire(std::string_view event);
    bool is_in(std::string_view state) const;
    void sync_state();
    void add(const call_count_delta& delta, absl::Time now);
    void evaluate(bool may_decide, absl::Time now);
    /// Looks for a fault of the upstream beside a daemon that does not decide, on its own evidence.
    void check_own_upstream(absl::Time now);
    void check_for_fault(absl::Time now);
    void check_confirmation(bool may_decide, absl::Time now);
    void end_suspension(absl::Time now);
    void check_recovery(absl::Time now);
    void check_deadline(absl::Time now);
    void check_watch(absl::Time now);
    void start_if_ready(absl::Time now);
    void advance_if_ready(absl::Time now);
    void enter_stage(int stage, absl::Time now);
    void begin_stage();
    double share_of(int stage) const {
        return m_policy.shares.at(static_cast<std::size_t>(stage));
    }
    bool may_leave_stage(absl::Time now) const;
    bool has_signs_of_fault() const;
    bool is_fault_suspected() const;
    bool has_both_versions(absl::Time now) const;
    void roll_back(result_code reason, const std::string& route, absl::Time now);
    double new_version_calls() const;
    absl::Duration window() const;
    absl::Duration dwell(int stage) const;
    absl::Duration forced_dwell() const;
    absl::Time forced_exit(int stage) const;
    absl::Duration watch_duration() const;
    absl::Time forecast(absl::Time now) const;
    result_code reason() const;

    move m_declared;
    const state_chart& m_chart;
    std::string m_daemon_id;
    move_policy m_policy;
    move_progress m_progress;
    std::string m_state;
    call_count_table m_call_counts;
    std::map<std::string, route_evaluator> m_evaluators; ///< By route; the empty name stands for all routes together.
    bool m_has_unsent_progress = true;
    bool m_may_decide = true;
    absl::Time m_stage_since;
    double m_calls_before_stage = 0;
    std::string m_suspected_route;
    suspected_fault m_suspected_fault;
    absl::Time m_suspended_since = absl::InfiniteFuture();
    absl::Time m_last_degraded_at = absl::InfinitePast();
    absl::Time m_fault_suspected_since = absl::InfiniteFuture();
    absl::Time m_urgent_until = absl::InfinitePast();
    absl::Time m_final_since = absl::InfiniteFuture();
    absl::Time m_both_versions_since = absl::InfiniteFuture();
};

} // namespace amaranthladder
