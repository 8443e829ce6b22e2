#include "moves/private/move_process.h"

#include "common/error.h"
#include "common/state_chart.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthladder {

namespace {

// Signs of a fault must last this long at the deadline before an undecided move is rolled back for them.
constexpr absl::Duration signs_at_deadline = absl::Seconds(5);

// A daemon that hears of a suspicion sends its own evidence more often for this time.
constexpr absl::Duration alarm_time = absl::Seconds(5);

absl::Time to_record_precision(absl::Time time) {
    return absl::FromUnixMillis(absl::ToUnixMillis(time));
}

} // namespace

move_process::move_process(move declared, const state_chart& chart, const std::string& daemon_id,
                           std::uint64_t incarnation, const move_policy& policy, absl::Time now)
    : m_declared(std::move(declared)), m_chart(chart), m_daemon_id(daemon_id), m_policy(policy),
      m_state(chart.initial()), m_evidence(daemon_id, incarnation, policy), m_stage_since(now) {
    m_progress.deadline = to_record_precision(m_declared.deadline);
    m_progress.started_at = to_record_precision(now);
    m_judges.try_emplace("", policy);
    m_evidence.take_own(now);
}

void move_process::set_upstream(const std::string& service, const std::string& version) {
    const bool is_served = service == m_declared.service;
    m_evidence.set_present(move_side::old_version, is_served && m_declared.is_from(version));
    m_evidence.set_present(move_side::new_version, is_served && version == m_declared.to_version);
}

void move_process::observe(const call_sample& sample) {
    if (sample.service != m_declared.service || is_final()) {
        return;
    }
    if (sample.version == m_declared.to_version) {
        m_evidence.count(move_side::new_version, sample.route, sample.outcome, sample.latency);
    } else if (m_declared.is_from(sample.version)) {
        m_evidence.count(move_side::old_version, sample.route, sample.outcome, sample.latency);
    }
}

bool move_process::merge(const move_progress& remote, absl::Time now) {
    const move_record held{identity(), m_progress};
    const move_record joined = amaranthladder::merge(held, {identity(), remote});
    if (joined == held) {
        return false;
    }
    const bool is_other_stage = std::get<move_progress>(joined.content).stage != m_progress.stage;
    m_progress = std::get<move_progress>(joined.content);
    m_is_changed = true;
    if (is_other_stage) {
        // The calls that prove a stage are counted from the time at which this daemon heard of it.
        m_stage_since = now;
        m_stage_calls_before = new_calls();
    }
    follow_progress();
    return true;
}

bool move_process::merge(const move_evidence& remote, absl::Time now) {
    evidence_delta delta;
    if (!m_evidence.merge(remote, now, delta)) {
        return false;
    }
    if (remote.is_urgent) {
        m_alarmed_until = now + alarm_time;
    }
    add(delta, now);
    return true;
}

void move_process::replace() {
    if (m_progress.is_replaced) {
        return;
    }
    m_progress.is_replaced = true;
    m_is_changed = true;
    follow_progress();
}

void move_process::tick(bool is_deciding, absl::Time now) {
    m_is_deciding = is_deciding;
    for (const evidence_delta& delta : m_evidence.take_own(now)) {
        add(delta, now);
    }
    if (is_final()) {
        m_final_since = std::min(m_final_since, now);
        return;
    }
    judge(is_deciding, now);
    if (is_deciding && !is_final()) {
        check_deadline(now);
    }
}

std::vector<move_record> move_process::take_due(absl::Time now) {
    std::vector<move_record> due;
    if (std::exchange(m_is_changed, false)) {
        due.push_back({identity(), m_progress});
    }
    if (is_final()) {
        return due;
    }
    for (move_evidence& row : m_evidence.take_due(is_suspecting(), now < m_alarmed_until, now)) {
        due.push_back({identity(), std::move(row)});
    }
    return due;
}

std::vector<move_record> move_process::records() const {
    std::vector<move_record> result{{identity(), m_progress}};
    if (!is_final()) {
        for (move_evidence& row : m_evidence.rows()) {
            result.push_back({identity(), std::move(row)});
        }
    }
    return result;
}

double move_process::share() const {
    if (refuses_new_version()) {
        return 0;
    }
    const bool is_completed = m_progress.stage >= move_policy::completed_stage;
    if (!m_is_deciding && !is_completed) {
        return 0;
    }
    if (is_in("held") && is_completed) {
        return m_policy.held_watch_share;
    }
    return move_policy::stage_shares.at(static_cast<std::size_t>(m_progress.stage));
}

bool move_process::refuses_new_version() const {
    return m_progress.rollback.has_value() || is_in("suspended");
}

bool move_process::is_final() const {
    return m_progress.rollback || m_progress.is_replaced || m_progress.stage >= move_policy::finished_stage;
}

move_status move_process::status(absl::Time now) const {
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
    result.contributors = m_evidence.contributors(now);
    const route_judge& all = m_judges.at("");
    result.new_version = all.summary(move_side::new_version);
    result.old_version = all.summary(move_side::old_version);
    if (m_progress.rollback) {
        result.ended_at = m_progress.rollback->decided_at;
        result.decided_by = m_progress.rollback->decided_by;
        result.route = m_progress.rollback->route;
        result.new_version = m_progress.rollback->new_version;
        result.old_version = m_progress.rollback->old_version;
    }
    return result;
}

move_identity move_process::identity() const {
    return {m_declared.name, m_declared.introduced_in};
}

void move_process::fire(std::string_view event) {
    const std::optional<std::string> target = m_chart.target(m_state, event);
    if (!target) {
        throw error(result_code::chart_no_transition, fmt::format("move: [{}] has no on.{}", m_state, event));
    }
    m_state = *target;
}

bool move_process::is_in(std::string_view state) const {
    return m_state == state;
}

void move_process::follow_progress() {
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
    } else if (m_progress.stage > move_policy::last_unproven_stage && (is_in("waiting") || is_in("trial"))) {
        fire("remote-progress");
    } else if (m_progress.stage >= move_policy::first_stage && is_in("waiting")) {
        fire("start");
    }
}

void move_process::add(const evidence_delta& delta, absl::Time now) {
    if (delta.calls() <= 0 || is_final()) {
        return;
    }
    m_judges.at("").add(delta, now);
    if (delta.route.empty()) {
        return;
    }
    auto judge_of_route = m_judges.find(delta.route);
    if (judge_of_route == m_judges.end() && m_judges.size() < 2 * (m_policy.max_routes + 2)) {
        judge_of_route = m_judges.try_emplace(delta.route, m_policy).first;
    }
    if (judge_of_route != m_judges.end()) {
        judge_of_route->second.add(delta, now);
    }
}

void move_process::judge(bool is_deciding, absl::Time now) {
    for (auto& [route, judge_of_route] : m_judges) {
        judge_of_route.tick(m_progress.stage >= move_policy::completed_stage, now);
    }
    m_signs_since = is_suspecting() && !is_in("held") ? std::min(m_signs_since, now) : absl::InfiniteFuture();
    if (has_evidence(now)) {
        m_evidence_since = std::min(m_evidence_since, now);
    }
    if (is_in("trial") || is_in("growing") || is_in("watched") || is_in("held")) {
        check_suspicion(now);
    }
    if (is_in("suspended")) {
        check_confirmation(is_deciding, now);
    } else if (is_in("held")) {
        check_recovery(now);
    } else if (is_in("trial") || is_in("growing") || is_in("watched")) {
        if (m_judges.at("").has_common_trouble(now)) {
            m_trouble_at = now;
            fire("trouble-of-both");
        }
    }
    if (!is_deciding) {
        return;
    }
    if (is_in("waiting")) {
        start(now);
    } else if (is_in("trial") || is_in("growing")) {
        advance(now);
    } else if (is_in("watched")) {
        check_watch(now);
    }
}

void move_process::check_suspicion(absl::Time now) {
    // Without the old version there is nowhere to send the calls, and nothing to compare with.
    if (!m_evidence.has_fresh(move_side::old_version, now)) {
        return;
    }
    double strongest = 1;
    for (const auto& [route, judge_of_route] : m_judges) {
        const suspicion candidate = judge_of_route.strongest();
        if (candidate.evidence >= strongest) {
            strongest = candidate.evidence;
            m_suspicion = candidate;
            m_suspected_route = route;
        }
    }
    if (m_suspicion.evidence < 1) {
        return;
    }
    // The old version is idle after completion and cannot show that a short disturbance was common to both.
    if (is_in("watched") && m_suspicion.run_start < absl::InfiniteFuture() &&
        now - m_suspicion.run_start < m_policy.watch_persistence) {
        m_suspicion = {};
        return;
    }
    m_suspended_since = now;
    fire("suspect");
    if (!m_policy.waits_for_confirmation) {
        roll_back(m_suspicion.reason, m_suspected_route, now);
    }
}

void move_process::check_confirmation(bool is_deciding, absl::Time now) {
    // Only the same route's calls count: trouble of both versions may concern one route alone.
    const confirmation result = m_judges.at(m_suspected_route).confirm(m_suspicion, m_suspended_since);
    const absl::Duration suspended_for = now - m_suspended_since;
    const bool is_overdue = suspended_for >= m_policy.suspension_max ||
                            (now >= m_progress.deadline && m_progress.stage < move_policy::completed_stage &&
                             suspended_for >= m_policy.suspension_min);
    if (result == confirmation::refuted) {
        for (auto& [route, judge_of_route] : m_judges) {
            judge_of_route.refute();
        }
        m_suspicion = {};
        m_suspended_since = absl::InfiniteFuture();
        m_trouble_at = now;
        fire("refute");
        return;
    }
    if (is_deciding && (result == confirmation::confirmed || is_overdue)) {
        roll_back(m_suspicion.reason, m_suspected_route, now);
    }
}

void move_process::check_recovery(absl::Time now) {
    if (m_judges.at("").has_common_trouble(now)) {
        m_trouble_at = now;
    }
    if (now - m_trouble_at < m_policy.recovery) {
        return;
    }
    if (m_progress.stage >= move_policy::completed_stage) {
        fire("recover-watched");
    } else {
        fire(m_progress.stage > move_policy::last_unproven_stage ? "recover-growing" : "recover-trial");
    }
}

void move_process::start(absl::Time now) {
    if (m_evidence_since == absl::InfiniteFuture() || !has_evidence(now) ||
        now - m_evidence_since < std::min(m_policy.rate_observation, 0.1 * window())) {
        return;
    }
    const double rate = m_judges.at("").call_rate(now);
    int stage = move_policy::first_stage;
    while (stage < move_policy::last_unproven_stage &&
           rate * move_policy::stage_shares.at(static_cast<std::size_t>(stage) + 1) <=
               m_policy.unproven_calls_per_second) {
        ++stage;
    }
    fire("start");
    enter_stage(stage, now);
}

void move_process::advance(absl::Time now) {
    if (!may_leave_stage(now)) {
        return;
    }
    const int next = m_progress.stage + 1;
    if (next >= move_policy::completed_stage) {
        m_progress.completed_at = std::min(m_progress.completed_at, to_record_precision(now));
        fire("complete");
    } else if (is_in("trial") && next > move_policy::last_unproven_stage) {
        fire("proven");
    }
    enter_stage(next, now);
}

void move_process::enter_stage(int stage, absl::Time now) {
    m_progress.stage = stage;
    m_stage_since = now;
    m_stage_calls_before = new_calls();
    m_is_changed = true;
}

bool move_process::may_leave_stage(absl::Time now) const {
    if (!has_evidence(now) || has_signs_of_fault()) {
        return false;
    }
    const bool is_proven =
        new_calls() - m_stage_calls_before >= m_policy.stage_calls && now - m_stage_since >= dwell(m_progress.stage);
    const bool is_forced =
        !is_suspecting() && now >= forced_exit(m_progress.stage) && now - m_stage_since >= forced_dwell();
    return is_proven || is_forced;
}

bool move_process::has_signs_of_fault() const {
    return std::ranges::any_of(m_judges, [](const auto& entry) { return !entry.second.allows_growth(); });
}

bool move_process::is_suspecting() const {
    return is_in("suspended") || std::ranges::any_of(m_judges, [&](const auto& entry) {
               return entry.second.strongest().evidence >= m_policy.suspicion;
           });
}

bool move_process::has_evidence(absl::Time now) const {
    return m_evidence.has_fresh(move_side::new_version, now) && m_evidence.has_fresh(move_side::old_version, now);
}

void move_process::check_deadline(absl::Time now) {
    if (now < m_progress.deadline || m_progress.stage >= move_policy::completed_stage || is_in("suspended") ||
        !m_evidence.has_fresh(move_side::old_version, now)) {
        return;
    }
    if (m_evidence.is_gone(move_side::new_version)) {
        roll_back(result_code::move_taken_back_absent, "", now);
        return;
    }
    const absl::Duration overtime = std::clamp(window() / 2, m_policy.overtime_min, m_policy.overtime_max);
    const bool is_over = now >= m_progress.deadline + overtime;
    const bool has_lasting_signs = now - m_signs_since >= signs_at_deadline;
    if (m_evidence.has_fresh(move_side::new_version, now) && (is_over || has_lasting_signs)) {
        roll_back(result_code::move_taken_back_undecided, "", now);
    }
}

void move_process::check_watch(absl::Time now) {
    const absl::Duration watched_for = now - m_progress.completed_at;
    const bool has_calls = has_evidence(now) && new_calls() - m_stage_calls_before >= m_policy.stage_calls;
    if (is_suspecting() && watched_for < 2 * m_policy.watch_max) {
        return;
    }
    if (watched_for >= m_policy.watch_max || (watched_for >= watch() && has_calls)) {
        m_progress.stage = move_policy::finished_stage;
        m_is_changed = true;
        fire("finish");
    }
}

void move_process::roll_back(result_code reason, const std::string& route, absl::Time now) {
    const route_judge& judge_of_route = m_judges.at(route);
    rollback_record rollback;
    rollback.decided_at = to_record_precision(now);
    rollback.reason = reason;
    rollback.decided_by = m_daemon_id;
    rollback.route = route;
    rollback.stage = m_progress.stage;
    rollback.exposed_calls = static_cast<std::uint64_t>(new_calls());
    rollback.new_version = judge_of_route.summary(move_side::new_version);
    rollback.old_version = judge_of_route.summary(move_side::old_version);
    m_progress.rollback = std::move(rollback);
    m_is_changed = true;
    fire("rollback");
}

double move_process::new_calls() const {
    return m_judges.at("").calls(move_side::new_version);
}

absl::Duration move_process::window() const {
    return std::max(absl::Seconds(1), m_progress.deadline - m_progress.started_at);
}

absl::Duration move_process::dwell(int stage) const {
    return window() * m_policy.dwell.at(static_cast<std::size_t>(stage));
}

absl::Duration move_process::forced_dwell() const {
    return std::min(m_policy.forced_dwell_max, window() * m_policy.forced_dwell);
}

absl::Time move_process::forced_exit(int stage) const {
    return m_progress.deadline - window() * m_policy.reserve.at(static_cast<std::size_t>(stage));
}

absl::Duration move_process::watch() const {
    return std::clamp(window() / 2, m_policy.watch_min, m_policy.watch_max);
}

absl::Time move_process::forecast(absl::Time now) const {
    if (m_progress.rollback || m_progress.is_replaced) {
        return absl::InfiniteFuture();
    }
    if (m_progress.completed_at != absl::InfiniteFuture()) {
        return m_progress.completed_at;
    }
    const double rate = m_judges.at("").call_rate(now);
    absl::Time exit = now;
    absl::Time entered = m_stage_since;
    double needed = m_policy.stage_calls - (new_calls() - m_stage_calls_before);
    for (int stage = m_progress.stage; stage < move_policy::completed_stage; ++stage) {
        const double calls_per_second = rate * move_policy::stage_shares.at(static_cast<std::size_t>(stage));
        const absl::Duration evidence =
            calls_per_second > 0 ? absl::Seconds(std::max(0.0, needed) / calls_per_second) : absl::InfiniteDuration();
        const absl::Time proven = std::max({exit, entered + dwell(stage), exit + evidence});
        const absl::Time forced = std::max({exit, entered + forced_dwell(), forced_exit(stage)});
        exit = std::min(proven, forced);
        entered = exit;
        needed = m_policy.stage_calls;
    }
    return is_in("suspended") ? absl::InfiniteFuture() : exit;
}

result_code move_process::reason() const {
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
        return m_suspicion.reason;
    }
    return is_in("held") ? result_code::move_held : result_code::ok;
}

} // namespace amaranthladder
