#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace amaranthladder {

/// Limits the time in which a response's body is read, since a sender in trouble may never end it.
///
/// A body of undeclared length ends with the deadline, however fast it arrives. A body of declared length may arrive
/// after the deadline as long as it arrives fast enough: time that the caller takes to accept its bytes does not count
/// against the sender.
class body_time_limit {
public:
    /// Time after the deadline in which the rest of a response may arrive.
    static constexpr absl::Duration grace = absl::Milliseconds(300);
    /// Rate at which a body of declared length must arrive after the deadline, in bytes per second.
    static constexpr double min_late_rate = 64.0 * 1024;

    /// @param deadline the request's deadline.
    /// @param has_declared_length true if the response declares the length of its body.
    /// @param idle_timeout longest time without progress before the deadline.
    body_time_limit(absl::Time deadline, bool has_declared_length, absl::Duration idle_timeout);

    /// @return how long the next read may wait; zero or less if the time is used up.
    absl::Duration next_wait(absl::Time now) const;

    /// Counts a read that returned.
    /// @param started_at when it started.
    /// @param bytes number of bytes that arrived.
    void on_read(absl::Time started_at, absl::Time now, std::size_t bytes);

private:
    absl::Time m_deadline;
    bool m_has_declared_length;
    absl::Duration m_idle_timeout;
    absl::Duration m_late_wait; ///< Time after the deadline spent in reads, less what the bytes received allow.
};

} // namespace amaranthladder
