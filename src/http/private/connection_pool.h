#pragma once

#include "common/asio_types.h"
#include "common/endpoint.h"
#include "http/private/metered_stream.h"
#include "routing/connection_health.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace amaranthladder {

/// A connection to an upstream or to another daemon. It carries one request at a time.
struct pooled_connection {
    pooled_connection(asio::io_context& context, endpoint target_address, std::size_t max_buffer_bytes)
        : stream(context), buffer(max_buffer_bytes), target(std::move(target_address)) {}

    metered_stream stream;
    beast::flat_buffer buffer;
    endpoint target;
    /// @return the data that connection_health decides on.
    connection_info info() const {
        return {id, opened_at, last_received_at};
    }

    std::uint64_t id = 0;
    absl::Time opened_at;
    absl::Time last_received_at; ///< End of the last response.
};

/// Keeps idle connections and reuses the most recently used one first. connection_health decides which may be reused.
///
/// Not thread safe: used by the event loop's thread only.
class connection_pool {
public:
    /// @param context the event loop that the connections belong to.
    /// @param max_idle_per_target maximum number of idle connections to one target.
    /// @param max_buffer_bytes maximum number of bytes that are read from a connection but not parsed yet.
    /// @param limits limits of connection_health.
    /// @param link_bytes counter of the bytes moved over the host's link.
    connection_pool(asio::io_context& context, std::size_t max_idle_per_target, std::size_t max_buffer_bytes,
                    connection_limits limits, std::uint64_t& link_bytes);

    /// @param target address of the upstream or daemon.
    /// @param is_idempotent true if the request may be sent again after the connection fails.
    /// @return an idle connection that the peer has not closed, or null.
    std::unique_ptr<pooled_connection> take(const endpoint& target, bool is_idempotent, absl::Time now);

    /// @return a new connection that is not open yet.
    std::unique_ptr<pooled_connection> create(const endpoint& target);

    /// Counts the bytes of a connection to another host from now on.
    void count_link_bytes(pooled_connection& connection) {
        connection.stream.rate_policy().count_in(&m_link_bytes);
    }

    /// Returns @p connection to the pool. Its last response must have been read completely.
    void put(std::unique_ptr<pooled_connection> connection, absl::Time now);

    /// Closes the idle connections to @p target and uses new ones for some time, because bytes of no response have
    /// arrived on one of its connections.
    void suspend_reuse(const endpoint& target, absl::Time now);

    /// Closes the idle connections that may be dead after a first-byte timeout on another connection to the same
    /// target. Connections in use are left open, since their own responses show whether they work.
    /// @param timed_out the connection with the timeout.
    /// @param request_sent when its request was sent.
    /// @return number of closed connections.
    std::size_t retire(const pooled_connection& timed_out, absl::Time request_sent);

    /// Closes idle connections that are too old to be reused.
    void close_expired(absl::Time now);

    const connection_health& health() const {
        return m_health;
    }

    std::size_t idle_count() const;

private:
    using idle_list = std::vector<std::unique_ptr<pooled_connection>>;

    asio::io_context& m_context;
    std::size_t m_max_idle_per_target;
    std::size_t m_max_buffer_bytes;
    connection_health m_health;
    std::uint64_t& m_link_bytes;
    std::uint64_t m_next_id = 1;
    std::map<endpoint, idle_list> m_idle;
    std::map<endpoint, absl::Time> m_suspended_until; ///< Targets whose connections are not used again.
};

} // namespace amaranthladder
