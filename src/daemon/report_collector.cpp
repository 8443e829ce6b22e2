#include "daemon/report_collector.h"

#include "moves/move_policy.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

month_record make_move_outcome_record(const move_status& status) {
    move_outcome outcome;
    outcome.move = fmt::format("{}@{}", status.identity.name, status.identity.introduced_in);
    outcome.verdict = std::string(name(status.verdict));
    outcome.reason = static_cast<int>(status.reason);
    outcome.time_to_verdict_s = std::max(0.0, absl::ToDoubleSeconds(status.ended_at - status.started_at));
    const auto stage = static_cast<std::size_t>(std::clamp(status.stage, 0, move_policy::finished_stage));
    const bool is_order = status.identity.name.starts_with(move_record::order_move_prefix);
    outcome.new_version_share = (is_order ? order_move_policy() : move_policy()).shares[stage];
    outcome.new_version_calls = status.new_version.calls;
    return make_outcome_record(std::move(outcome), status.ended_at);
}

} // namespace

report_collector::report_collector(std::string daemon_id, absl::Time now)
    : m_daemon_id(std::move(daemon_id)), m_window_start(now) {}

void report_collector::record_convergence(absl::Duration elapsed) {
    if (m_convergence_ms.size() < month_record::max_convergence_values) {
        const auto elapsed_ms = std::max<std::int64_t>(0, absl::ToInt64Milliseconds(elapsed));
        m_convergence_ms.push_back(static_cast<std::uint32_t>(std::min<std::int64_t>(elapsed_ms, UINT32_MAX)));
    }
}

std::vector<month_record> report_collector::collect(const std::vector<move_status>& moves, std::uint64_t control_bytes,
                                                    absl::Time now) {
    std::vector<month_record> records;
    for (const auto& candidate : moves) {
        if (candidate.is_final && candidate.ended_at != absl::InfiniteFuture() &&
            m_reported_moves.insert(candidate.identity).second) {
            records.push_back(make_move_outcome_record(candidate));
        }
    }
    if (now - m_window_start >= sample_window) {
        records.push_back(make_sample_record({m_daemon_id, absl::ToDoubleSeconds(now - m_window_start),
                                              control_bytes - m_window_start_bytes, std::move(m_convergence_ms)},
                                             m_window_start));
        m_convergence_ms.clear();
        m_window_start_bytes = control_bytes;
        m_window_start = now;
    }
    return records;
}

} // namespace amaranthladder
