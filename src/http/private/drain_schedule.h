#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Decides which requests a daemon that has been asked to stop can still serve before it ends.
///
/// During a notice period callers do not know yet that the daemon stops, so their requests are served if they can be
/// expected to end in time. A request that comes later, for instance on a connection that was left open, is accepted
/// only if its deadline is early enough: otherwise it might be cut while an upstream runs it.
class drain_schedule {
public:
    /// Starts the drain; later calls have no effect.
    /// @param notice_ends_at when callers have been redirected.
    /// @param ends_at when requests in flight are given up.
    /// @return true for the call that started it.
    bool start(absl::Time notice_ends_at, absl::Time ends_at);

    bool has_started() const {
        return m_ends_at < absl::InfiniteFuture();
    }

    /// @param deadline when the request is given up at the latest.
    /// @return true if a request that has just been read can be accepted.
    bool may_accept(absl::Time now, absl::Time deadline) const;

    /// @param expected_time until the response to the request; zero if unknown.
    /// @param deadline when the request is given up at the latest.
    /// @return true if a request that is sent to an upstream now can be expected to end in time.
    bool may_send(absl::Time now, absl::Duration expected_time, absl::Time deadline) const;

private:
    absl::Time m_notice_ends_at = absl::InfiniteFuture();
    absl::Time m_ends_at = absl::InfiniteFuture();
};

} // namespace amaranthladder
