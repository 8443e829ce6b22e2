#pragma once

#include <absl/time/time.h>

#include <chrono>

namespace amaranthladder {

/// A wall clock that never steps: the wall time at construction plus the monotonic time since then.
///
/// Decision modules compare times with each other and with deadlines of the configuration; a stepped system clock
/// must neither expire nor extend them.
class steady_clock {
public:
    steady_clock();

    /// @return the present time.
    absl::Time now() const;

private:
    absl::Time m_wall_start;
    std::chrono::steady_clock::time_point m_steady_start;
};

} // namespace amaranthladder
