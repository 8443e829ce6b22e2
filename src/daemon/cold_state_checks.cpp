#include "daemon/cold_state_checks.h"

#include <absl/cleanup/cleanup.h>

#include <fmt/format.h>

#include <exception>
#include <optional>
#include <utility>

namespace amaranthladder {

cold_state_checks::cold_state_checks(std::function<upstream_identity(const endpoint&)> query, answer_handler on_answer,
                                     const steady_clock& clock, event_log& log)
    : m_query(std::move(query)), m_on_answer(std::move(on_answer)), m_clock(clock), m_log(log) {}

cold_state_checks::~cold_state_checks() {
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void cold_state_checks::start(const std::string& id, const endpoint& address) {
    if (m_is_running.exchange(true)) {
        return;
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_thread = std::thread([this, id, address] { run(id, address); });
}

void cold_state_checks::run(const std::string& id, const endpoint& address) {
    const absl::Cleanup ended = [this] { m_is_running = false; };
    try {
        const absl::Time asked_at = m_clock.now();
        const upstream_identity answered = m_query(address);
        const std::optional<absl::Duration>& cold = answered.signals.remaining_cold;
        const std::optional<double>& limit = answered.signals.rate_limit;
        const bool is_used = answered.id == id;
        m_log.info(
            fmt::format("cold-check upstream={} is_used={} answered={} status={} failure={} cold_ms={} limit_per_s={} "
                        "after_ms={}",
                        id, is_used, answered.id, answered.status, name(answered.failure),
                        cold ? absl::ToInt64Milliseconds(*cold) : -1, limit ? fmt::format("{:g}", *limit) : "none",
                        absl::ToInt64Milliseconds(m_clock.now() - asked_at)));
        if (is_used) {
            m_on_answer(id, answered.signals, asked_at);
        }
    } catch (const std::exception& problem) {
        m_log.error(fmt::format("task-failed part=cold-check reason=\"{}\"", problem.what()));
    }
}

} // namespace amaranthladder
