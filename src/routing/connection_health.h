#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <span>
#include <vector>

namespace amaranthladder {

/// Parameters of connection_health; docs/routing.md gives the reasons.
struct connection_limits {
    absl::Duration max_idle_idempotent = absl::Seconds(20);
    absl::Duration max_idle_non_idempotent = absl::Seconds(1);
    absl::Duration max_age = absl::Minutes(10);
    absl::Duration min_first_byte_timeout = absl::Milliseconds(250);
    double first_byte_factor = 4; ///< Timeout as a multiple of the route's 99th percentile.
    int min_samples = 20;         ///< With fewer samples, the timeout is the remaining time.
};

/// State of an open connection to one upstream.
struct connection_info {
    std::uint64_t id = 0;
    absl::Time opened;
    absl::Time last_received; ///< When the last byte arrived; @ref opened if none did.
};

/// Running estimate of the 99th percentile of a route's time to first byte.
class first_byte_latency {
public:
    /// @param sample time from the last byte of the request to the first byte of the response.
    void observe(absl::Duration sample);

    /// @return the estimate; zero before the first sample.
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

/// Decides which pooled connections to an upstream may be reused, and how long to wait for a response on one.
///
/// If a firewall or NAT device on the path loses its state, connections through it stay open but deliver nothing. Age
/// and idle time are the only signs of that before a request is lost.
class connection_health {
public:
    explicit connection_health(connection_limits limits = {});

    /// @param connection an idle connection of the pool.
    /// @param is_idempotent true if the request may be retried when the connection proves dead.
    /// @param now current time.
    /// @return true if the request may be sent on the connection. If false, close the connection if is_expired,
    ///         otherwise keep it for idempotent requests and open a new one.
    bool may_reuse(const connection_info& connection, bool is_idempotent, absl::Time now) const;

    /// @return true if not even an idempotent request may use the connection.
    bool is_expired(const connection_info& connection, absl::Time now) const;

    /// Finds the connections that may be dead after a first-byte timeout on another one: those that were open when the
    /// request was sent and have received nothing since. Close idle ones now and busy ones after their request.
    /// @param timed_out the connection with the timeout.
    /// @param request_sent when its request was sent.
    /// @param others connections to the same upstream.
    /// @return ids of connections in @p others.
    static std::vector<std::uint64_t> connections_to_retire(const connection_info& timed_out, absl::Time request_sent,
                                                            std::span<const connection_info> others);

    /// @return true if enough responses of a route are known to tell a silent connection from a slow response. If not,
    /// no request should be sent on a connection that may have gone silent.
    bool can_time_out_early(const first_byte_latency& latency) const {
        return latency.samples() >= m_limits.min_samples;
    }

    /// @param latency latency of the route.
    /// @param is_idempotent true if the request may be retried. If not, an early timeout gains nothing.
    /// @param remaining time until the caller's deadline.
    /// @return how long to wait for the first byte of a response, at most @p remaining.
    absl::Duration first_byte_timeout(const first_byte_latency& latency, bool is_idempotent,
                                      absl::Duration remaining) const;

private:
    connection_limits m_limits;
};

} // namespace amaranthladder
