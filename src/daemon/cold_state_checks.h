#pragma once

#include "common/endpoint.h"
#include "common/event_log.h"
#include "common/steady_clock.h"
#include "daemon/platform_interface.h"

#include <absl/time/time.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace amaranthladder {

/// Sends health checks to the upstream beside this daemon to learn whether it is cold, whether it limits the rate of
/// requests, and how loaded it is. Checks are rare and block, so each runs on a thread of its own, at most one at a
/// time.
class cold_state_checks {
public:
    /// Called with what the upstream has said and the time at which it was asked.
    using answer_handler =
        std::function<void(const std::string& id, const health_signals& signals, absl::Time asked_at)>;

    /// @param query sends a health check, see platform_interface::query_upstream_id.
    /// @param on_answer called on the thread of the check.
    /// @param clock must outlive this object, like @p log.
    cold_state_checks(std::function<upstream_identity(const endpoint&)> query, answer_handler on_answer,
                      const steady_clock& clock, event_log& log);
    /// Waits for the check in progress.
    ~cold_state_checks();
    cold_state_checks(const cold_state_checks&) = delete;
    cold_state_checks& operator=(const cold_state_checks&) = delete;

    /// Starts a check, unless one is in progress. Must be called from one thread only.
    void start(const std::string& id, const endpoint& address);

private:
    void run(const std::string& id, const endpoint& address);

    std::function<upstream_identity(const endpoint&)> m_query;
    answer_handler m_on_answer;
    const steady_clock& m_clock;
    event_log& m_log;
    std::atomic<bool> m_is_running = false;
    std::thread m_thread;
};

} // namespace amaranthladder
