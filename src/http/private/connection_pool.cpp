#include "http/private/connection_pool.h"

#include <sys/socket.h>

#include <utility>

namespace amaranthladder {

namespace {

/// A kept connection with readable data or an end of stream is broken: nothing was asked on it.
bool is_quiet(upstream_connection& connection) {
    if (connection.buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    const auto received =
        ::recv(connection.stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

connection_pool::connection_pool(asio::io_context& context, std::size_t max_idle_per_target)
    : m_context(context), m_max_idle_per_target(max_idle_per_target) {}

std::unique_ptr<upstream_connection> connection_pool::take(const endpoint& target, absl::Duration max_idle,
                                                           absl::Time now) {
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return nullptr;
    }
    idle_list& idle = found->second;
    while (!idle.empty()) {
        // The last one was used last, so all others have been idle for longer.
        if (now - idle.back()->last_used_at > max_idle) {
            return nullptr;
        }
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (is_quiet(*connection)) {
            connection->is_reused = true;
            return connection;
        }
    }
    return nullptr;
}

std::unique_ptr<upstream_connection> connection_pool::create(const endpoint& target) {
    return std::make_unique<upstream_connection>(m_context, target);
}

void connection_pool::put(std::unique_ptr<upstream_connection> connection, absl::Time now) {
    idle_list& idle = m_idle[connection->target];
    if (idle.size() >= m_max_idle_per_target) {
        return;
    }
    connection->last_used_at = now;
    connection->stream.expires_never();
    idle.push_back(std::move(connection));
}

std::size_t connection_pool::retire(const endpoint& target, absl::Time opened_until) {
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return 0;
    }
    return std::erase_if(found->second, [&](const auto& connection) { return connection->opened_at <= opened_until; });
}

void connection_pool::close_idle(absl::Duration max_idle, absl::Time now) {
    for (auto& [target, idle] : m_idle) {
        std::erase_if(idle, [&](const auto& connection) { return now - connection->last_used_at > max_idle; });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t connection_pool::idle_count() const {
    std::size_t count = 0;
    for (const auto& [target, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace amaranthladder
