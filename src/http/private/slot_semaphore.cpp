#include "http/private/slot_semaphore.h"

#include <absl/cleanup/cleanup.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace amaranthladder {

namespace {

/// Short compared with target latencies, which are tenths of a second or longer.
constexpr auto waiter_interval = std::chrono::milliseconds(5);

} // namespace

slot_semaphore::slot_semaphore(asio::io_context& context, const steady_clock& clock, int slots, int queue_limit,
                               const slot_limiter_policy& policy)
    : m_context(context), m_clock(clock), m_limiter(slots, queue_limit, policy) {}

asio::awaitable<result_code> slot_semaphore::acquire(const slot_request& request) {
    const request_id id = request.id;
    const admission offered = m_limiter.offer(request, m_clock.now());
    if (offered.result == admission::verdict::run) {
        co_return result_code::ok;
    }
    if (offered.result == admission::verdict::refused) {
        co_return offered.refusal;
    }
    asio::steady_timer timer(m_context, asio::steady_timer::time_point::max());
    m_waiters[id].timer = &timer;
    // Also when the event loop destroys the suspended request: another one that frees its slot would wake this timer.
    const absl::Cleanup forget = [this, id] { m_waiters.erase(id); };
    if (!std::exchange(m_are_waiters_served, true)) {
        asio::co_spawn(m_context, serve_waiters(shared_from_this()), asio::detached);
    }
    while (!m_waiters[id].result) {
        co_await timer.async_wait(as_result);
    }
    co_return *m_waiters[id].result;
}

void slot_semaphore::release(request_id id) {
    wake_all(m_limiter.finish(id, m_clock.now()));
}

void slot_semaphore::cancel(request_id id) {
    if (m_limiter.cancel(id) == cancel_result::queued) {
        wake(id, result_code::caller_disconnected);
    }
}

asio::awaitable<void> slot_semaphore::serve_waiters(std::shared_ptr<slot_semaphore> semaphore) {
    asio::steady_timer timer(semaphore->m_context);
    while (!semaphore->m_waiters.empty()) {
        timer.expires_after(waiter_interval);
        co_await timer.async_wait(as_result);
        for (const request_id id : semaphore->m_limiter.expire(semaphore->m_clock.now())) {
            semaphore->wake(id, semaphore->m_limiter.drop_reason());
        }
        semaphore->wake_all(semaphore->m_limiter.start_permitted(semaphore->m_clock.now()));
    }
    semaphore->m_are_waiters_served = false;
}

void slot_semaphore::set_limits(int slots, int queue_limit) {
    wake_all(m_limiter.set_limits(slots, queue_limit, m_clock.now()));
}

void slot_semaphore::set_rate_limit(std::optional<double> per_second) {
    wake_all(m_limiter.set_rate_limit(per_second, m_clock.now()));
}

void slot_semaphore::set_leaving(absl::Time serves_until) {
    for (const request_id id : m_limiter.set_leaving(serves_until, m_clock.now())) {
        wake(id, m_limiter.drop_reason());
    }
}

void slot_semaphore::clear_leaving() {
    m_limiter.clear_leaving();
}

void slot_semaphore::set_refusal(result_code code) {
    for (const request_id id : m_limiter.set_refusal(code)) {
        wake(id, m_limiter.drop_reason());
    }
}

bool slot_semaphore::try_repeat() {
    return m_limiter.try_repeat(m_clock.now());
}

void slot_semaphore::wake_all(const slot_change& change) {
    for (const request_id id : change.run) {
        wake(id, result_code::ok);
    }
    for (const request_id id : change.dropped) {
        wake(id, m_limiter.drop_reason());
    }
}

void slot_semaphore::wake(request_id id, result_code result) {
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end()) {
        return;
    }
    found->second.result = result;
    found->second.timer->cancel();
}

} // namespace amaranthladder
