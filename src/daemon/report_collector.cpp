#include "daemon/report_collector.h"

#include "moves/move_policy.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

month_record outcome_of(const move_status& ended) {
    move_outcome outcome;
    outcome.move = fmt::format("{}@{}", ended.identity.name, ended.identity.introduced_in);
    outcome.verdict = std::string(name(ended.verdict));
    outcome.reason = static_cast<int>(ended.reason);
    outcome.seconds = std::max(0.0, absl::ToDoubleSeconds(ended.ended_at - ended.started_at));
    const auto stage = static_cast<std::size_t>(std::clamp(ended.stage, 0, move_policy::finished_stage));
    outcome.share = move_policy::stage_shares[stage];
    outcome.calls = ended.new_version.calls;
    return make_outcome_record(std::move(outcome), ended.ended_at);
}

} // namespace

report_collector::report_collector(std::string daemon_id, absl::Time now)
    : m_daemon_id(std::move(daemon_id)), m_window_start(now) {}

void report_collector::note_convergence(absl::Duration passed) {
    if (m_convergence_ms.size() < month_record::max_convergence_values) {
        const auto passed_ms = std::max<std::int64_t>(0, absl::ToInt64Milliseconds(passed));
        m_convergence_ms.push_back(static_cast<std::uint32_t>(std::min<std::int64_t>(passed_ms, UINT32_MAX)));
    }
}

std::vector<month_record> report_collector::collect(const std::vector<move_status>& moves, std::uint64_t control_bytes,
                                                    absl::Time now) {
    std::vector<month_record> records;
    for (const auto& one : moves) {
        if (one.is_final && one.ended_at != absl::InfiniteFuture() && m_reported.insert(one.identity).second) {
            records.push_back(outcome_of(one));
        }
    }
    if (now - m_window_start >= sample_window) {
        records.push_back(make_sample_record({m_daemon_id, absl::ToDoubleSeconds(now - m_window_start),
                                              control_bytes - m_bytes_at_start, std::move(m_convergence_ms)},
                                             m_window_start));
        m_convergence_ms.clear();
        m_bytes_at_start = control_bytes;
        m_window_start = now;
    }
    return records;
}

} // namespace amaranthladder
