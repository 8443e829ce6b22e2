#include "common/stop_signal.h"

namespace amaranthladder {

void stop_signal::stop() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_is_stopped = true;
    }
    m_changed.notify_all();
}

bool stop_signal::is_stopped() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_is_stopped;
}

void stop_signal::wait(absl::Duration delay) const {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, absl::ToChronoNanoseconds(delay), [this] { return m_is_stopped; });
}

} // namespace amaranthladder
