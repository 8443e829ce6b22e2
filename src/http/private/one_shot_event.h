#pragma once

#include "common/asio_types.h"

namespace amaranthladder {

/// Lets coroutines of one event loop wait until something has happened.
class one_shot_event {
public:
    explicit one_shot_event(const asio::any_io_executor& executor)
        : m_timer(executor, asio::steady_timer::time_point::max()) {}

    /// Resumes all coroutines that wait, now and later.
    void set() {
        m_is_set = true;
        m_timer.cancel();
    }

    bool is_set() const {
        return m_is_set;
    }

    asio::awaitable<void> wait() {
        while (!m_is_set) {
            co_await m_timer.async_wait(as_result);
        }
    }

private:
    asio::steady_timer m_timer;
    bool m_is_set = false;
};

} // namespace amaranthladder
