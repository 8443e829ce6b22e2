#include "moves/private/move_controller.h"

#include "common/error.h"
#include "common/state_chart.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthladder {

namespace {

// After the deadline, an undecided move is rolled back early if a fault has been suspected for this long.
constexpr absl::Duration min_suspicion_at_deadline = absl::Seconds(5);

// After receiving urgent call counts, a daemon sends its own more often for this time.
constexpr absl::Duration urgent_time = absl::Seconds(5);

absl::Time to_record_precision(absl::Time time) {
    return absl::FromUnixMillis(absl::ToUnixMillis(time));
}

} // namespace

move_controller::move_controller(move declared, const state_chart& chart, const std::string& daemon_id,
                                 std::uint64_t incarnation, const move_policy& policy, absl::Time now)
    : m_declared(std::move(declared)), m_chart(chart), m_daemon_id(daemon_id), m_policy(policy),
      m_state(chart.initial()), m_call_counts(daemon_id, incarnation, policy), m_stage_since(now) {
    m_progress.deadline = to_record_precision(m_declared.deadline);
    m_progress.started_at = to_record_precision(now);
    m_evaluators.try_emplace("", policy);
    m_call_counts.take_own_deltas(now);
}

void move_controller::set_upstream(const std::string& service, const std::string& version) {
    const bool is_served = service == m_declared.service;
    m_call_counts.set_has_upstream(move_side::old_version, is_served && m_declared.is_from(version));
    m_call_counts.set_has_upstream(move_side::new_version, is_served && version == m_declared.to_version);
}

void move_controller::observe(const call_sample& sample) {
    if (sample.service != m_declared.service || is_final()) {
        return;
    }
    if (sample.version == m_declared.to_version) {
        m_call_counts.count(move_side::new_version, sample.route, sample.outcome, sample.latency);
    } else if (m_declared.is_from(sample.version)) {
        m_call_counts.count(move_side::old_version, sample.route, sample.outcome, sample.latency);
    }
}

bool move_controller::merge(const move_progress& remote, absl::Time now) {
    const move_record current{identity(), m_progress};
    const move_record merged = amaranthladder::merge(current, {identity(), remote});
    if (merged == current) {
        return false;
    }
    const bool has_stage_changed = std::get<move_progress>(merged.content).stage != m_progress.stage;
    m_progress = std::get<move_progress>(merged.content);
    m_has_unsent_progress = true;
    if (has_stage_changed) {
        // Calls count towards a stage from the time at which this daemon learned of it.
        m_stage_since = now;
        begin_stage();
    }
    sync_state();
    return true;
}

bool move_controller::merge(const move_call_counts& remote, absl::Time now) {
    call_count_delta delta;
    if (!m_call_counts.merge(remote, now, delta)) {
        return false;
    }
    if (remote.is_urgent) {
        m_urgent_until = now + urgent_time;
    }
    add(delta, now);
    return true;
}

void move_controller::replace() {
    if (m_progress.is_replaced) {
        return;
    }
    m_progress.is_replaced = true;
    m_has_unsent_progress = true;
    sync_state();
}

void move_controller::tick(bool is_decider, bool may_decide, absl::Time now) {
    m_may_decide = may_decide;
    for (const call_count_delta& delta : m_call_counts.take_own_deltas(now)) {
        add(delta, now);
    }
    if (is_final()) {
        m_final_since = std::min(m_final_since, now);
        return;
    }
    if (!is_decider) {
        if (m_policy.suspends_at_owner && m_call_counts.has_own_upstream(move_side::new_version)) {
            check_own_upstream(now);
        }
        return;
    }
    evaluate(may_decide, now);
    if (may_decide && !is_final()) {
        check_deadline(now);
    }
}

std::vector<move_record> move_controller::take_due(absl::Time now) {
    std::vector<move_record> due;
    if (std::exchange(m_has_unsent_progress, false)) {
        due.push_back({identity(), m_progress});
    }
    if (is_final()) {
        return due;
    }
    for (move_call_counts& row : m_call_counts.take_due(is_fault_suspected(), now < m_urgent_until, now)) {
        due.push_back({identity(), std::move(row)});
    }
    return due;
}

std::vector<move_record> move_controller::records() const {
    std::vector<move_record> result{{identity(), m_progress}};
    if (!is_final()) {
        for (move_call_counts& row : m_call_counts.rows()) {
            result.push_back({identity(), std::move(row)});
        }
    }
    return result;
}

double move_controller::share() const {
    if (refuses_new_version()) {
        return 0;
    }
    const bool is_completed = m_progress.stage >= move_policy::completed_stage;
    if (!m_may_decide && !is_completed) {
        return 0;
    }
    if (is_in("held") && is_completed) {
        return m_policy.held_watch_share;
    }
    return m_policy.shares.at(static_cast<std::size_t>(m_progress.stage));
}

bool move_controller::refuses_new_version() const {
    return m_progress.rollback.has_value() || is_in("suspended");
}

bool move_controller::is_final() const {
    return m_progress.rollback || m_progress.is_replaced || m_progress.stage >= move_policy::finished_stage;
}

move_status move_controller::status(absl::Time now) const {
    move_status result;
    result.identity = identity();
    result.service = m_declared.service;
    result.from_version = m_declared.from_version;
    result.to_version = m_declared.to_version;
    result.share = share();
    result.stage = m_progress.stage;
    result.state = m_state;
    result.started_at = m_progress.started_at;
    result.deadline = m_progress.deadline;
    result.forecast = forecast(now);
    result.verdict = m_progress.verdict();
    result.reason = reason();
    result.is_final = is_final();
    result.ended_at = m_progress.completed_at;
    result.contributors = m_call_counts.contributors(now);
    const route_evaluator& all_routes = m_evaluators.at("");
    result.new_version = all_routes.summary(move_side::new_version);
    result.old_version = all_routes.summary(move_side::old_version);
    if (m_progress.rollback) {
        result.ended_at = m_progress.rollback->decided_at;
        result.decided_by = m_progress.rollback->decided_by;
        result.route = m_progress.rollback->route;
        result.new_version = m_progress.rollback->new_version;
        result.old_version = m_progress.rollback->old_version;
    }
    return result;
}

move_identity move_controller::identity() const {
    return {m_declared.name, m_declared.introduced_in};
}

void move_controller::fire(std::string_view event) {
    const std::optional<std::string> target = m_chart.target(m_state, event);
    if (!target) {
        throw error(result_code::chart_no_transition,
                    fmt::format("charts/move.ini: state [{}] has no on.{}", m_state, event));
    }
    m_state = *target;
}

bool move_controller::is_in(std::string_view state) const {
    return m_state == state;
}

void move_controller::sync_state() {
    if (m_progress.rollback) {
        if (!is_in("rolled_back")) {
            fire("rollback");
        }
        return;
    }
    if (m_progress.is_replaced || m_progress.stage >= move_policy::finished_stage) {
        if (!is_in("finished") && !is_in("replaced")) {
            fire(m_progress.stage >= move_policy::finished_stage ? "finish" : "replace");
        }
        return;
    }
    if (m_progress.stage >= move_policy::completed_stage && !is_in("watched") && !is_in("suspended")) {
        fire("remote-completed");
    } else if (m_progress.stage > m_policy.last_trial_stage && (is_in("waiting") || is_in("trial"))) {
        fire("remote-progress");
    } else if (m_progress.stage >= move_policy::first_stage && is_in("waiting")) {
        fire("start");
    }
}

void move_controller::add(const call_count_delta& delta, absl::Time now) {
    if (delta.calls() <= 0 || is_final()) {
        return;
    }
    m_evaluators.at("").add(delta, now);
    if (delta.route.empty()) {
        return;
    }
    auto evaluator = m_evaluators.find(delta.route);
    if (evaluator == m_evaluators.end() && m_evaluators.size() < 2 * (m_policy.max_routes + 2)) {
        evaluator = m_evaluators.try_emplace(delta.route, m_policy).first;
    }
    if (evaluator != m_evaluators.end()) {
        evaluator->second.add(delta, now);
    }
}

void move_controller::evaluate(bool may_decide, absl::Time now) {
    if (!is_in("suspended") || !m_policy.freezes_latencies_when_suspended) {
        for (auto& [route, evaluator] : m_evaluators) {
            evaluator.tick(share_of(m_progress.stage) >= 1, now);
        }
    }
    m_fault_suspected_since =
        is_fault_suspected() && !is_in("held") ? std::min(m_fault_suspected_since, now) : absl::InfiniteFuture();
    if (has_both_versions(now)) {
        m_both_versions_since = std::min(m_both_versions_since, now);
    }
    if (is_in("trial") || is_in("growing") || is_in("watched") || is_in("held")) {
        check_for_fault(now);
    }
    if (is_in("suspended")) {
        check_confirmation(may_decide, now);
    } else if (is_in("held")) {
        check_recovery(now);
    } else if (is_in("trial") || is_in("growing") || is_in("watched")) {
        if (m_evaluators.at("").are_both_versions_degraded(now)) {
            m_last_degraded_at = now;
            fire("trouble-of-both");
        }
    }
    if (!may_decide) {
        return;
    }
    if (is_in("waiting")) {
        start_if_ready(now);
    } else if (is_in("trial") || is_in("growing")) {
        advance_if_ready(now);
    } else if (is_in("watched")) {
        check_watch(now);
    }
}

void move_controller::check_own_upstream(absl::Time now) {
    if (is_in("suspended")) {
        if (now - m_suspended_since >= m_policy.owner_suspension_max) {
            end_suspension(now);
        }
        return;
    }
    if (is_in("held")) {
        check_recovery(now);
        return;
    }
    if (!is_in("trial") && !is_in("growing")) {
        return;
    }
    for (auto& [route, evaluator] : m_evaluators) {
        evaluator.tick_without_old_version(now);
        const suspected_fault fault = evaluator.strongest_fault();
        const bool is_slow = fault.reason == result_code::move_taken_back_slow;
        if (fault.threshold_ratio >= 1 && (!is_slow || evaluator.slow_ratio() >= m_policy.owner_slow_ratio)) {
            m_suspected_fault = fault;
            m_suspected_route = route;
            m_suspended_since = now;
            fire("suspect");
            return;
        }
    }
}

void move_controller::check_for_fault(absl::Time now) {
    // Without the old version there is no alternative for the calls and nothing to compare with.
    if (!m_call_counts.has_recent_upstream(move_side::old_version, now)) {
        return;
    }
    double strongest = 1;
    for (const auto& [route, evaluator] : m_evaluators) {
        const suspected_fault candidate = evaluator.strongest_fault();
        if (candidate.threshold_ratio >= strongest) {
            strongest = candidate.threshold_ratio;
            m_suspected_fault = candidate;
            m_suspected_route = route;
        }
    }
    if (m_suspected_fault.threshold_ratio < 1) {
        return;
    }
    // After completion the old version is idle and cannot show whether a short fault affected both versions.
    if (is_in("watched") && m_suspected_fault.started_at < absl::InfiniteFuture() &&
        now - m_suspected_fault.started_at < m_policy.watch_fault_min) {
        m_suspected_fault = {};
        return;
    }
    m_suspended_since = now;
    fire("suspect");
    if (!m_policy.waits_for_confirmation) {
        roll_back(m_suspected_fault.reason, m_suspected_route, now);
    }
}

void move_controller::check_confirmation(bool may_decide, absl::Time now) {
    // Only calls of the same route are compared, because a cause common to both versions may affect a single route.
    const confirmation result = m_evaluators.at(m_suspected_route).check(m_suspected_fault, m_suspended_since);
    const absl::Duration suspended_for = now - m_suspended_since;
    const bool is_overdue = suspended_for >= m_policy.suspension_max ||
                            (now >= m_progress.deadline && m_progress.stage < move_policy::completed_stage &&
                             suspended_for >= m_policy.suspension_min);
    if (result == confirmation::refuted) {
        end_suspension(now);
        return;
    }
    if (may_decide && (result == confirmation::confirmed || is_overdue)) {
        roll_back(m_suspected_fault.reason, m_suspected_route, now);
    }
}

void move_controller::end_suspension(absl::Time now) {
    for (auto& [route, evaluator] : m_evaluators) {
        evaluator.reset_after_false_alarm();
    }
    m_suspected_fault = {};
    m_suspended_since = absl::InfiniteFuture();
    m_last_degraded_at = now;
    fire("refute");
}

void move_controller::check_recovery(absl::Time now) {
    if (m_evaluators.at("").are_both_versions_degraded(now)) {
        m_last_degraded_at = now;
    }
    if (now - m_last_degraded_at < m_policy.recovery_time) {
        return;
    }
    if (m_progress.stage >= move_policy::completed_stage) {
        fire("recover-watched");
    } else {
        fire(m_progress.stage > m_policy.last_trial_stage ? "recover-growing" : "recover-trial");
    }
}

void move_controller::start_if_ready(absl::Time now) {
    if (m_both_versions_since == absl::InfiniteFuture() || !has_both_versions(now) ||
        now - m_both_versions_since < std::min(m_policy.rate_observation_time, 0.1 * window())) {
        return;
    }
    const double rate = m_evaluators.at("").call_rate(now);
    int stage = move_policy::first_stage;
    while (stage < m_policy.last_trial_stage && rate * m_policy.shares.at(static_cast<std::size_t>(stage) + 1) <=
                                                    m_policy.first_stage_max_calls_per_second) {
        ++stage;
    }
    fire("start");
    enter_stage(stage, now);
}

void move_controller::advance_if_ready(absl::Time now) {
    if (!may_leave_stage(now)) {
        return;
    }
    const int next = m_progress.stage + 1;
    if (next >= move_policy::completed_stage) {
        m_progress.completed_at = std::min(m_progress.completed_at, to_record_precision(now));
        fire("complete");
    } else if (is_in("trial") && next > m_policy.last_trial_stage) {
        fire("proven");
    }
    enter_stage(next, now);
}

void move_controller::enter_stage(int stage, absl::Time now) {
    m_progress.stage = stage;
    m_stage_since = now;
    begin_stage();
    m_has_unsent_progress = true;
}

void move_controller::begin_stage() {
    m_calls_before_stage = new_version_calls();
    for (auto& [route, evaluator] : m_evaluators) {
        evaluator.begin_stage();
    }
}

bool move_controller::may_leave_stage(absl::Time now) const {
    if (!has_both_versions(now) || has_signs_of_fault()) {
        return false;
    }
    if (share_of(m_progress.stage) >= 1 && now - m_stage_since < m_policy.full_share_observation) {
        return false;
    }
    const bool is_proven = new_version_calls() - m_calls_before_stage >= m_policy.min_stage_calls &&
                           now - m_stage_since >= dwell(m_progress.stage);
    const bool is_forced =
        !is_fault_suspected() && now >= forced_exit(m_progress.stage) && now - m_stage_since >= forced_dwell();
    return is_proven || is_forced;
}

bool move_controller::has_signs_of_fault() const {
    return std::ranges::any_of(m_evaluators, [](const auto& entry) { return !entry.second.allows_growth(); });
}

bool move_controller::is_fault_suspected() const {
    return is_in("suspended") || std::ranges::any_of(m_evaluators, [&](const auto& entry) {
               return entry.second.strongest_fault().threshold_ratio >= m_policy.suspicion_ratio;
           });
}

bool move_controller::has_both_versions(absl::Time now) const {
    return m_call_counts.has_recent_upstream(move_side::new_version, now) &&
           m_call_counts.has_recent_upstream(move_side::old_version, now);
}

void move_controller::check_deadline(absl::Time now) {
    if (now < m_progress.deadline || m_progress.stage >= move_policy::completed_stage || is_in("suspended") ||
        !m_call_counts.has_recent_upstream(move_side::old_version, now)) {
        return;
    }
    if (m_call_counts.has_no_upstream(move_side::new_version)) {
        roll_back(result_code::move_taken_back_absent, "", now);
        return;
    }
    const absl::Duration grace = std::clamp(window() / 2, m_policy.deadline_grace_min, m_policy.deadline_grace_max);
    const bool is_grace_over = now >= m_progress.deadline + grace;
    const bool has_lasting_suspicion = now - m_fault_suspected_since >= min_suspicion_at_deadline;
    if (m_call_counts.has_recent_upstream(move_side::new_version, now) && (is_grace_over || has_lasting_suspicion)) {
        roll_back(result_code::move_taken_back_undecided, "", now);
    }
}

void move_controller::check_watch(absl::Time now) {
    const absl::Duration watched_for = now - m_progress.completed_at;
    const bool has_calls =
        has_both_versions(now) && new_version_calls() - m_calls_before_stage >= m_policy.min_stage_calls;
    if (is_fault_suspected() && watched_for < 2 * m_policy.watch_max) {
        return;
    }
    if (watched_for >= m_policy.watch_max || (watched_for >= watch_duration() && has_calls)) {
        m_progress.stage = move_policy::finished_stage;
        m_has_unsent_progress = true;
        fire("finish");
    }
}

void move_controller::roll_back(result_code reason, const std::string& route, absl::Time now) {
    const route_evaluator& evaluator = m_evaluators.at(route);
    rollback_record rollback;
    rollback.decided_at = to_record_precision(now);
    rollback.reason = reason;
    rollback.decided_by = m_daemon_id;
    rollback.route = route;
    rollback.stage = m_progress.stage;
    rollback.exposed_calls = static_cast<std::uint64_t>(new_version_calls());
    rollback.new_version = evaluator.summary(move_side::new_version);
    rollback.old_version = evaluator.summary(move_side::old_version);
    m_progress.rollback = std::move(rollback);
    m_has_unsent_progress = true;
    fire("rollback");
}

double move_controller::new_version_calls() const {
    return m_evaluators.at("").calls(move_side::new_version);
}

absl::Duration move_controller::window() const {
    return std::max(absl::Seconds(1), m_progress.deadline - m_progress.started_at);
}

absl::Duration move_controller::dwell(int stage) const {
    return window() * m_policy.dwell.at(static_cast<std::size_t>(stage));
}

absl::Duration move_controller::forced_dwell() const {
    return std::min(m_policy.forced_dwell_max, window() * m_policy.forced_dwell);
}

absl::Time move_controller::forced_exit(int stage) const {
    return m_progress.deadline - window() * m_policy.forced_exit_lead.at(static_cast<std::size_t>(stage));
}

absl::Duration move_controller::watch_duration() const {
    return std::clamp(window() / 2, m_policy.watch_min, m_policy.watch_max);
}

absl::Time move_controller::forecast(absl::Time now) const {
    if (m_progress.rollback || m_progress.is_replaced) {
        return absl::InfiniteFuture();
    }
    if (m_progress.completed_at != absl::InfiniteFuture()) {
        return m_progress.completed_at;
    }
    const double rate = m_evaluators.at("").call_rate(now);
    absl::Time exit = now;
    absl::Time entered = m_stage_since;
    double needed = m_policy.min_stage_calls - (new_version_calls() - m_calls_before_stage);
    for (int stage = m_progress.stage; stage < move_policy::completed_stage; ++stage) {
        const double calls_per_second = rate * m_policy.shares.at(static_cast<std::size_t>(stage));
        const absl::Duration collection_time =
            calls_per_second > 0 ? absl::Seconds(std::max(0.0, needed) / calls_per_second) : absl::InfiniteDuration();
        const absl::Time proven = std::max({exit, entered + dwell(stage), exit + collection_time});
        const absl::Time forced = std::max({exit, entered + forced_dwell(), forced_exit(stage)});
        exit = std::min(proven, forced);
        entered = exit;
        needed = m_policy.min_stage_calls;
    }
    return is_in("suspended") ? absl::InfiniteFuture() : exit;
}

result_code move_controller::reason() const {
    switch (m_progress.verdict()) {
    case move_verdict::rolled_back:
        return m_progress.rollback->reason;
    case move_verdict::replaced:
        return result_code::move_replaced;
    case move_verdict::done:
        return result_code::move_done;
    case move_verdict::done_late:
        return result_code::move_late;
    case move_verdict::under_way:
        break;
    }
    if (is_in("suspended")) {
        return m_suspected_fault.reason;
    }
    return is_in("held") ? result_code::move_held : result_code::ok;
}

} // namespace amaranthladder
