#pragma once

#include "common/result_code.h"
#include "common/steady_clock.h"
#include "http/private/asio_types.h"
#include "routing/slot_limiter.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Lets requests wait for a slot of one upstream beside this daemon. The decisions are slot_limiter's. Owned by shared
/// pointers, since waiting requests outlive the upstream's place in the daemon.
class slot_semaphore : public std::enable_shared_from_this<slot_semaphore> {
public:
    /// @param order of the waiting requests.
    slot_semaphore(asio::io_context& context, const steady_clock& clock, int slots, int queue_limit, queue_order order);

    /// Waits for a slot.
    /// @return ok if the request now holds a slot, which release() frees; otherwise the refusal: it did not run.
    asio::awaitable<result_code> acquire(const slot_request& request);

    void release(request_id id);

    /// Ends the wait of a request whose caller has left.
    void cancel(request_id id);

    /// Changes the limits; requests that may run now are woken.
    void set_limits(int slots, int queue_limit);

    slot_limiter& limiter() {
        return m_limiter;
    }

private:
    struct waiter {
        asio::steady_timer* timer = nullptr;
        std::optional<result_code> result;
    };

    /// Drops waiting requests that can no longer meet their deadlines, for as long as any request waits.
    static asio::awaitable<void> expire_waiters(std::shared_ptr<slot_semaphore> semaphore);
    void wake_all(const slot_change& change);
    void wake(request_id id, result_code result);

    asio::io_context& m_context;
    const steady_clock& m_clock;
    slot_limiter m_limiter;
    std::map<request_id, waiter> m_waiters;
    bool m_is_expiry_running = false; ///< expire_waiters() runs.
};

/// Frees a slot at the end of a scope.
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
