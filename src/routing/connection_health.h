#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <span>
#include <vector>

namespace amaranthladder {

/// Constants of connection_health; docs/routing.md gives the reasons.
struct connection_limits {
    absl::Duration max_idle_idempotent = absl::Seconds(20);
    absl::Duration max_idle_non_idempotent = absl::Seconds(1);
    absl::Duration max_age = absl::Minutes(10);
    absl::Duration min_first_byte_timeout = absl::Milliseconds(250);
    double first_byte_factor = 4; ///< Timeout as a multiple of the route's slow latency.
    int min_samples = 20;         ///< Until then the timeout is the time left.
};

/// What is known of an open connection to one upstream.
struct connection_info {
    std::uint64_t id = 0;
    absl::Time opened;
    absl::Time last_received; ///< When the last byte arrived; @ref opened if none did.
};

/// Recent latency of a route to its first byte: a running estimate of its slow requests.
class first_byte_latency {
public:
    /// @param sample time from the request's last byte sent to the first byte of the answer.
    void observe(absl::Duration sample);

    /// @return an estimate of the 99th percentile.
    absl::Duration p99() const {
        return m_p99;
    }

    int samples() const {
        return m_samples;
    }

private:
    absl::Duration m_p99;
    int m_samples = 0;
};

/// Decides about the use of pooled connections to one upstream. Connections through a device that lost its state stay
/// open and silent, so age and idle time are the only warnings before a request is lost on one.
class connection_health {
public:
    explicit connection_health(connection_limits limits = {});

    /// @param connection an idle connection of the pool.
    /// @param is_idempotent true if the request may be made again when the connection proves dead.
    /// @param now the time.
    /// @return true if the request may be sent on it; false: close it when max_idle_idempotent or max_age has passed,
    ///         otherwise keep it for idempotent requests and open a new one.
    bool may_reuse(const connection_info& connection, bool is_idempotent, absl::Time now) const;

    /// @return true if no request will use the connection any more.
    bool is_expired(const connection_info& connection, absl::Time now) const;

    /// Names the connections that a first-byte timeout puts in doubt: those that existed when the request was sent and
    /// have not delivered a byte since. A busy one finishes its request and is then closed, an idle one is closed.
    /// @param timed_out the connection with the timeout.
    /// @param request_sent when its request was sent.
    /// @param others the other connections to the same upstream.
    /// @return ids out of @p others.
    static std::vector<std::uint64_t> connections_to_retire(const connection_info& timed_out, absl::Time request_sent,
                                                            std::span<const connection_info> others);

    /// @param latency the route's measured latency.
    /// @param is_idempotent true if the request may be made again. If not, an early timeout gains nothing.
    /// @param remaining time until the caller's deadline.
    /// @return how long to wait for the first byte of an answer, at most @p remaining.
    absl::Duration first_byte_timeout(const first_byte_latency& latency, bool is_idempotent,
                                      absl::Duration remaining) const;

private:
    connection_limits m_limits;
};

} // namespace amaranthladder
