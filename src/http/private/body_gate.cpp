#include "http/private/body_gate.h"

#include <absl/cleanup/cleanup.h>

namespace amaranthladder {

namespace {

/// Interval at which a waiting request checks whether it would come too late. Short compared with target latencies,
/// which are tenths of a second or longer.
constexpr auto check_interval = std::chrono::milliseconds(20);

} // namespace

body_gate::body_gate(asio::io_context& context, const steady_clock& clock, body_admission_policy policy)
    : m_context(context), m_clock(clock), m_admission(policy) {}

asio::awaitable<result_code> body_gate::acquire(const body_offer& offered) {
    const body_admission::verdict first = m_admission.offer(offered, m_clock.now());
    if (first != body_admission::verdict::wait) {
        co_return first == body_admission::verdict::receive ? result_code::ok : result_code::queue_full;
    }
    asio::steady_timer timer(m_context);
    m_waiters[offered.id].timer = &timer;
    // Also when the event loop destroys the suspended request: another one would wake this timer.
    const absl::Cleanup forget = [this, id = offered.id] {
        m_admission.cancel(id);
        m_waiters.erase(id);
    };
    while (!m_waiters[offered.id].result) {
        timer.expires_after(check_interval);
        co_await timer.async_wait(as_result);
        for (const request_id late : m_admission.expire(m_clock.now())) {
            m_waiters[late].result = result_code::queue_full;
            m_waiters[late].timer->cancel();
        }
        // A slow sender stops counting without an event.
        wake_started();
    }
    co_return *m_waiters[offered.id].result;
}

void body_gate::cancel(request_id id) {
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end() || found->second.result) {
        return;
    }
    m_admission.cancel(id); // At once, since it could be started before its coroutine resumes.
    found->second.result = result_code::caller_disconnected;
    found->second.timer->cancel();
}

void body_gate::on_transferred(request_id id) {
    m_admission.on_transferred(id);
    wake_started();
}

void body_gate::release(request_id id) {
    m_admission.release(id);
    wake_started();
}

void body_gate::wake_started() {
    for (const request_id started : m_admission.start_waiting(m_clock.now())) {
        const auto found = m_waiters.find(started);
        if (found == m_waiters.end()) {
            m_admission.release(started);
            continue;
        }
        found->second.result = result_code::ok;
        found->second.timer->cancel();
    }
}

} // namespace amaranthladder
