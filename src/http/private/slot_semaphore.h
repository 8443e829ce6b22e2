#pragma once

#include "common/asio_types.h"
#include "common/result_code.h"
#include "common/steady_clock.h"
#include "routing/slot_limiter.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Lets coroutines wait for a slot of a local upstream; slot_limiter decides which requests are admitted. Owned by
/// shared pointers, since waiting requests may outlive the removal of the upstream.
class slot_semaphore : public std::enable_shared_from_this<slot_semaphore> {
public:
    /// @param slots number of requests that may run at a time.
    /// @param queue_limit number of requests that may wait.
    slot_semaphore(asio::io_context& context, const steady_clock& clock, int slots, int queue_limit,
                   const slot_limiter_policy& policy);

    /// Waits for a slot.
    /// @return ok if the request holds a slot, which release() frees; otherwise the reason for its refusal.
    asio::awaitable<result_code> acquire(const slot_request& request);

    /// Frees the slot of a request.
    void release(request_id id);

    /// Stops the wait of a request whose caller has disconnected.
    void cancel(request_id id);

    /// Changes the limits and resumes the requests that may run under the new ones.
    void set_limits(int slots, int queue_limit);

    /// Changes the rate limit and resumes the requests that may run under the new one.
    /// @param per_second starts per second; nothing lifts the limit.
    void set_rate_limit(std::optional<double> per_second);

    /// Refuses further requests, and waiting ones that the upstream cannot serve any more.
    /// @param serves_until when the upstream may end.
    void set_leaving(absl::Time serves_until);

    /// Accepts requests again.
    void clear_leaving();

    /// Refuses all requests, also waiting ones; see slot_limiter::set_refusal.
    void set_refusal(result_code code);

    /// @copydoc slot_limiter::rate_limit_knowledge
    unknown_rate_limit& rate_limit_knowledge() {
        return m_limiter.rate_limit_knowledge();
    }

    /// @copydoc slot_limiter::cold_starts
    cold_start_limit& cold_starts() {
        return m_limiter.cold_starts();
    }

    const slot_limiter& limiter() const {
        return m_limiter;
    }

    /// Counts a request that is sent a second time; see slot_limiter::try_repeat.
    bool try_repeat();

private:
    struct waiter {
        asio::steady_timer* timer = nullptr;
        std::optional<result_code> result;
    };

    /// Periodically drops waiting requests that can no longer meet their deadlines and starts those that waited for the
    /// rate limit, until no request waits.
    static asio::awaitable<void> serve_waiters(std::shared_ptr<slot_semaphore> semaphore);
    void wake_all(const slot_change& change);
    void wake(request_id id, result_code result);

    asio::io_context& m_context;
    const steady_clock& m_clock;
    slot_limiter m_limiter;
    std::map<request_id, waiter> m_waiters;
    bool m_are_waiters_served = false; ///< serve_waiters() is running.
};

/// Holds a slot and frees it on destruction.
class slot_permit {
public:
    slot_permit(slot_semaphore& semaphore, request_id id) : m_semaphore(semaphore), m_id(id) {}
    ~slot_permit() {
        m_semaphore.release(m_id);
    }
    slot_permit(const slot_permit&) = delete;
    slot_permit& operator=(const slot_permit&) = delete;

private:
    slot_semaphore& m_semaphore;
    request_id m_id;
};

} // namespace amaranthladder
