#pragma once

#include <absl/time/time.h>

#include <chrono>

namespace amaranthladder {

/// A wall clock that never jumps: the wall time at construction plus the monotonic time elapsed since then.
///
/// Its times are compared with each other and with configured deadlines, which a jump of the system clock must neither
/// expire nor extend.
class steady_clock {
public:
    steady_clock();

    /// @return the current time.
    absl::Time now() const;

private:
    absl::Time m_wall_start;
    std::chrono::steady_clock::time_point m_steady_start;
};

} // namespace amaranthladder
