#include "daemon/move_service.h"

namespace amaranthladder {

namespace {

call_outcome outcome_of(upstream_call_result::outcome outcome) {
    switch (outcome) {
    case upstream_call_result::outcome::succeeded:
        return call_outcome::good;
    case upstream_call_result::outcome::refused:
        return call_outcome::refused;
    case upstream_call_result::outcome::failed:
        break;
    }
    return call_outcome::failed;
}

} // namespace

move_service::move_service(const std::string& daemon_id, const steady_clock& clock)
    : m_clock(clock),
      // A restarted daemon counts from zero; its start time marks the new counts as newer than those of the previous
      // run.
      m_engine(daemon_id, static_cast<std::uint64_t>(absl::ToUnixMillis(clock.now()))) {}

void move_service::set_moves(const std::map<std::string, move>& moves) {
    const absl::MutexLock lock(&m_mutex);
    m_engine.set_moves(moves, m_clock.now());
}

void move_service::set_upstream(const std::string& service, const std::string& version) {
    const absl::MutexLock lock(&m_mutex);
    m_engine.set_upstream(service, version, m_clock.now());
}

void move_service::set_is_decider(bool is_decider) {
    const absl::MutexLock lock(&m_mutex);
    m_engine.set_is_decider(is_decider);
}

void move_service::observe(const upstream_call_result& call) {
    const absl::MutexLock lock(&m_mutex);
    m_engine.observe({call.service, call.version, call.route, outcome_of(call.result), call.latency, call.reported_at});
}

bool move_service::merge_remote(const move_record& record) {
    const absl::MutexLock lock(&m_mutex);
    return m_engine.merge_remote(record, m_clock.now());
}

std::vector<move_record> move_service::tick() {
    const absl::MutexLock lock(&m_mutex);
    return m_engine.tick(m_clock.now());
}

std::map<std::string, std::map<std::string, double>> move_service::share_override() const {
    const absl::MutexLock lock(&m_mutex);
    return m_engine.share_override();
}

bool move_service::refuses(const std::string& service, const std::string& version) const {
    const absl::MutexLock lock(&m_mutex);
    return m_engine.refuses(service, version);
}

std::vector<move_status> move_service::statuses() const {
    const absl::MutexLock lock(&m_mutex);
    return m_engine.statuses(m_clock.now());
}

std::optional<move_status> move_service::status(const std::string& move_name) const {
    const absl::MutexLock lock(&m_mutex);
    return m_engine.status(move_name, m_clock.now());
}

} // namespace amaranthladder
