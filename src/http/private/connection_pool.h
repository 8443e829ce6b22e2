#pragma once

#include "common/endpoint.h"
#include "http/private/asio_types.h"

#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace amaranthladder {

/// An open connection to an upstream or to another daemon. It carries one request at a time.
struct upstream_connection {
    upstream_connection(asio::io_context& context, endpoint target_address)
        : stream(context), target(std::move(target_address)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    endpoint target;
    absl::Time opened_at;
    absl::Time last_used_at;
    bool is_reused = false;
};

/// Keeps idle connections for reuse, the most recently used first.
///
/// Not thread safe: used by the event loop's thread only.
class connection_pool {
public:
    /// @param context the event loop that the connections belong to.
    /// @param max_idle_per_target connections kept for one target at the most.
    connection_pool(asio::io_context& context, std::size_t max_idle_per_target);

    /// @param target where the connection leads.
    /// @param max_idle idle time after which a connection is not reused.
    /// @return an idle connection that its peer has not closed, or null.
    std::unique_ptr<upstream_connection> take(const endpoint& target, absl::Duration max_idle, absl::Time now);

    /// @return a connection that is not open yet.
    std::unique_ptr<upstream_connection> create(const endpoint& target);

    /// Keeps @p connection for reuse. Its last response must have been read to the end.
    void put(std::unique_ptr<upstream_connection> connection, absl::Time now);

    /// Closes the idle connections to @p target that were opened at or before @p opened_until.
    /// @return how many.
    std::size_t retire(const endpoint& target, absl::Time opened_until);

    /// Closes connections that have been idle for longer than @p max_idle.
    void close_idle(absl::Duration max_idle, absl::Time now);

    std::size_t idle_count() const;

private:
    using idle_list = std::vector<std::unique_ptr<upstream_connection>>;

    asio::io_context& m_context;
    std::size_t m_max_idle_per_target;
    std::map<endpoint, idle_list> m_idle;
};

} // namespace amaranthladder
