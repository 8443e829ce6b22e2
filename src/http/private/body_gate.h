#pragma once

#include "common/asio_types.h"
#include "common/result_code.h"
#include "common/steady_clock.h"
#include "routing/body_admission.h"

#include <absl/time/time.h>

#include <map>
#include <optional>

namespace amaranthladder {

/// Lets coroutines wait until the owner may ask for the bodies of their requests; body_admission decides.
class body_gate {
public:
    body_gate(asio::io_context& context, const steady_clock& clock, body_admission_policy policy);

    /// Waits until the body may be received. After ok, on_transferred() and release() must follow.
    /// @return ok; queue_full if the body would come too late; caller_disconnected after cancel().
    asio::awaitable<result_code> acquire(const body_offer& offered);

    /// Stops the wait of a request whose sender has disconnected.
    void cancel(request_id id);

    /// Records that a body is complete or that its transfer has failed.
    void on_transferred(request_id id);

    /// Frees the memory of a body.
    void release(request_id id);

    const body_admission& admission() const {
        return m_admission;
    }

private:
    struct waiter {
        asio::steady_timer* timer = nullptr;
        std::optional<result_code> result;
    };

    void wake_started();

    asio::io_context& m_context;
    const steady_clock& m_clock;
    body_admission m_admission;
    std::map<request_id, waiter> m_waiters;
};

/// Holds the memory of a body in a body_gate, and frees it on destruction.
class body_permit {
public:
    body_permit(body_gate& gate, request_id id) : m_gate(gate), m_id(id) {}
    ~body_permit() {
        m_gate.release(m_id);
    }
    body_permit(const body_permit&) = delete;
    body_permit& operator=(const body_permit&) = delete;

private:
    body_gate& m_gate;
    request_id m_id;
};

} // namespace amaranthladder
