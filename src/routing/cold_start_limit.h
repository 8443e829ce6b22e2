#pragma once

#include "common/token_bucket.h"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace amaranthladder {

/// What a platform allows a cold upstream to get in any second: its cold rate times overage, plus slack. The defaults
/// are the cold rate itself.
struct cold_start_policy {
    double overage = 1;
    double slack = 0; ///< In requests.
};

/// Limits the starts at an upstream while it is cold, that is for some time after its start, when it tolerates few
/// requests a second. Decides also whether it is cold. Does no I/O; the time is an argument.
///
/// In any second, less than the policy allows is started. An upstream is cold while it reports so, and while its state
/// is unknown: until its first report, and after an event that may have changed the state until a report that is newer
/// than the event.
class cold_start_limit {
public:
    explicit cold_start_limit(cold_start_policy policy = {});

    /// @param per_second requests that the upstream tolerates while it is cold; 0: it tolerates all.
    /// @param now current time.
    void set_rate(double per_second, absl::Time now);

    /// Records that the process of the upstream has started anew. Its first report applies.
    void on_new_start(absl::Time now);

    /// Records an event after which the state is unknown, such as the end of the evacuation of its data centre.
    void on_event(absl::Time now);

    /// Records that a connection to the upstream failed or was reset. A health check is due soon after.
    void on_connection_failed(absl::Time now);

    /// Records a heartbeat of the upstream, which may have been sent some time ago.
    /// @param remaining time for which the upstream is still cold; zero: it is warm.
    /// @param now current time.
    void on_heartbeat(absl::Duration remaining, absl::Time now);

    /// Records the response to a health check.
    /// @param remaining as for on_heartbeat.
    /// @param asked_at when the check was sent.
    /// @param now current time.
    void on_health_check(absl::Duration remaining, absl::Time asked_at, absl::Time now);

    /// Makes the state unknown if the upstream has been silent for too long. Call it repeatedly.
    /// @return true if a health check must be sent now. Each costs money, so there is at most one for an event, and a
    ///         minimum time between two; the heartbeats tell the rest.
    bool take_due_check(absl::Time now);

    /// @return true if the upstream is cold or its state is unknown; false if it has no cold rate.
    bool is_limiting(absl::Time now) const {
        return m_rate > 0 && is_cold(now);
    }

    /// @return true if the state of the upstream is unknown.
    bool is_unknown() const {
        return m_unknown_since.has_value();
    }

    /// @return true if a request may start now.
    bool may_start(absl::Time now) const;

    /// Records the start of a request.
    void on_start(absl::Time now);

    /// @param ahead number of requests that start first.
    /// @param now current time.
    /// @return time until a request may start; zero without a limit.
    absl::Duration wait(std::ptrdiff_t ahead, absl::Time now) const;

    /// @return starts per second in the long run; nothing if they are not limited.
    std::optional<double> limit(absl::Time now) const;

    /// @return number of recent starts that count against the limit.
    std::size_t recent_starts() const {
        return m_starts.size();
    }

private:
    bool is_cold(absl::Time now) const {
        return m_unknown_since || now < m_cold_until;
    }
    void make_unknown(absl::Time since, absl::Time now);
    void on_report(absl::Duration remaining, absl::Time valid_from, absl::Time now);
    void begin_limit(absl::Time now);
    void forget_old_starts(absl::Time now);
    std::ptrdiff_t max_starts() const;
    double burst() const;
    double refill_rate() const;
    void set_permits(double permits, absl::Time now);

    cold_start_policy m_policy;
    double m_rate = 0;
    /// The event that made the state unknown; only a report that holds at this time or later ends that.
    std::optional<absl::Time> m_unknown_since = absl::InfinitePast();
    absl::Time m_cold_until = absl::InfinitePast(); ///< As last reported.
    absl::Time m_reported_at = absl::InfiniteFuture();
    absl::Time m_valid_from = absl::InfinitePast(); ///< Of the last report.
    std::optional<absl::Time> m_check_due;
    absl::Time m_checked_at = absl::InfinitePast();
    std::optional<token_bucket> m_permits; ///< Set while there is a rate; evens out the starts of a cold upstream.
    std::deque<absl::Time> m_starts;       ///< Within the counted window; kept while there is a rate.
};

} // namespace amaranthladder
