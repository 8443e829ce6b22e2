#pragma once

#include "config/intended_state.h"
#include "moves/move_engine.h"
#include "moves/move_policy.h"
#include "moves/move_record.h"
#include "moves/move_status.h"
#include "moves/private/evidence_table.h"
#include "moves/private/route_judge.h"

#include <absl/time/time.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

class state_chart;

/// One declared text of a move as this daemon sees it: its progress, the evidence, and the decisions.
class move_process {
public:
    /// @param declared the move.
    /// @param chart charts/move.ini; must outlive this object.
    /// @param daemon_id this daemon.
    /// @param incarnation grows with each start of this daemon.
    /// @param policy constants.
    /// @param now present time.
    move_process(move declared, const state_chart& chart, const std::string& daemon_id, std::uint64_t incarnation,
                 const move_policy& policy, absl::Time now);

    /// Says which upstream is beside this daemon.
    void set_upstream(const std::string& service, const std::string& version);

    void observe(const call_sample& sample);

    /// @return true if @p remote changed the progress held.
    bool merge(const move_progress& remote, absl::Time now);

    /// @return true if @p remote was newer than the row held.
    bool merge(const move_evidence& remote, absl::Time now);

    /// Ends the move because its text is no longer in force.
    void replace();

    /// Judges and advances.
    /// @param is_deciding false while this daemon has just resumed from a pause and must not decide on old evidence.
    /// @param now present time.
    void tick(bool is_deciding, absl::Time now);

    /// @return records that are due for sending.
    std::vector<move_record> take_due(absl::Time now);

    /// @return the records held.
    std::vector<move_record> records() const;

    /// @return share of the new version that this daemon applies.
    double share() const;

    /// @return true if this daemon sends no calls to the new version because of its faults.
    bool refuses_new_version() const;

    /// @return true once the outcome cannot change through evidence any more.
    bool is_final() const;

    /// @return time since which the move is final; infinite before.
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
    void follow_progress();
    void add(const evidence_delta& delta, absl::Time now);
    void judge(bool is_deciding, absl::Time now);
    void check_suspicion(absl::Time now);
    void check_confirmation(bool is_deciding, absl::Time now);
    void check_recovery(absl::Time now);
    void check_deadline(absl::Time now);
    void check_watch(absl::Time now);
    void start(absl::Time now);
    void advance(absl::Time now);
    void enter_stage(int stage, absl::Time now);
    bool may_leave_stage(absl::Time now) const;
    bool has_signs_of_fault() const;
    bool is_suspecting() const;
    bool has_evidence(absl::Time now) const;
    void roll_back(result_code reason, const std::string& route, absl::Time now);
    double new_calls() const;
    absl::Duration window() const;
    absl::Duration dwell(int stage) const;
    absl::Duration forced_dwell() const;
    absl::Time forced_exit(int stage) const;
    absl::Duration watch() const;
    absl::Time forecast(absl::Time now) const;
    result_code reason() const;

    move m_declared;
    const state_chart& m_chart;
    std::string m_daemon_id;
    move_policy m_policy;
    move_progress m_progress;
    std::string m_state;
    evidence_table m_evidence;
    std::map<std::string, route_judge> m_judges; ///< By route; the empty name stands for all routes together.
    bool m_is_changed = true;
    bool m_is_deciding = true;
    absl::Time m_stage_since;
    double m_stage_calls_before = 0;
    std::string m_suspected_route;
    suspicion m_suspicion;
    absl::Time m_suspended_since = absl::InfiniteFuture();
    absl::Time m_trouble_at = absl::InfinitePast();
    absl::Time m_signs_since = absl::InfiniteFuture();
    absl::Time m_alarmed_until = absl::InfinitePast();
    absl::Time m_final_since = absl::InfiniteFuture();
    absl::Time m_evidence_since = absl::InfiniteFuture();
};

} // namespace amaranthladder
