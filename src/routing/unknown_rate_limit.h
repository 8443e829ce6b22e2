#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <optional>

namespace amaranthladder {

/// Limits the concurrent requests at an upstream whose rate limit its owner does not know: the upstream ran before the
/// owner did, so it may have named a limit to a previous run. Few requests at a time are sent until a response says
/// whether there is a limit. Does no I/O; the time is an argument.
class unknown_rate_limit {
public:
    /// Requests that may run at once. The platform tolerates 5 requests beyond a limit; with one at a time, an upstream
    /// with 6 slots lost most of its capacity for the first half second after each restart.
    static constexpr int max_running = 4;

    /// Records that the limit is not known.
    void begin();

    /// Records that a response of the upstream has been read, or that the upstream has started anew.
    void end();

    bool is_unknown() const {
        return m_is_unknown;
    }

    /// @param slots requests that the upstream may run at once.
    /// @return requests that may run at once.
    int usable_slots(int slots) const {
        return m_is_unknown ? std::min(slots, max_running) : slots;
    }

    /// Records the start of a request.
    void on_start(absl::Time now);

    /// @return true if a health check must be sent now, because the response to the first request is late. Call it
    ///         repeatedly. Each check costs money, so there is none before a request has started.
    bool take_due_check(absl::Time now);

    /// @param asked_at when a health check was sent whose response names no limit.
    /// @return true if the limit need not be unknown any longer. The check that recalls an upstream after a restart
    /// does
    ///         not suffice, since an upstream may name its limit to requests only.
    bool ends_with_check(absl::Time asked_at) const {
        return m_is_unknown && m_checked_at && asked_at >= *m_checked_at;
    }

private:
    bool m_is_unknown = false;
    std::optional<absl::Time> m_check_due;  ///< Set once a request has started.
    std::optional<absl::Time> m_checked_at; ///< When the last check was due.
};

} // namespace amaranthladder
