#pragma once

#include "common/token_bucket.h"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace amaranthladder {

/// Limits the rate at which requests start at an upstream that has asked for it. Does no I/O; the time is an argument.
///
/// Over any period, at most the limit times the period plus a burst of burst_period starts.
class start_rate {
public:
    /// Sets or lifts the limit. What started in the last second beyond max_initial_excess times a new limit is paid
    /// back before the next request starts, for at most max_payback_period, since an upstream names a limit when it
    /// already gets more.
    /// @param per_second starts per second, at least 0; nothing lifts the limit.
    /// @param now current time.
    void set_limit(std::optional<double> per_second, absl::Time now);

    /// @return true if a request may start now.
    bool may_start(absl::Time now) const;

    /// Records the start of a request.
    void on_start(absl::Time now);

    /// @param ahead number of requests that start first.
    /// @param now current time.
    /// @return time until the limit lets a request start; zero without a limit.
    absl::Duration wait(std::ptrdiff_t ahead, absl::Time now) const;

    /// @return starts per second; nothing if they are not limited.
    std::optional<double> limit() const {
        return m_limit;
    }

private:
    void forget_old_starts(absl::Time now);

    std::optional<double> m_limit;
    std::optional<token_bucket> m_permits; ///< Set while there is a limit.
    std::deque<absl::Time> m_recent_starts;
};

} // namespace amaranthladder
