#pragma once

#include <absl/time/time.h>

#include <condition_variable>
#include <mutex>

namespace amaranthladder {

/// Lets threads pause until a time has passed or the program stops.
///
/// Waits on the monotonic clock. The timed waits of absl::Mutex use the time of day: when that is set back, they last
/// longer by as much.
class stop_signal {
public:
    /// Ends all waits, now and later.
    void stop();

    bool is_stopped() const;

    /// Returns after @p delay, or as soon as stop() is called.
    void wait(absl::Duration delay) const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    bool m_is_stopped = false;
};

} // namespace amaranthladder
