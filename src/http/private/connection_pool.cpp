#include "http/private/connection_pool.h"

#include "common/idle_connection.h"

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// Time for which the connections to a target are not used again after bytes of no response arrived on one of them.
constexpr absl::Duration reuse_suspension = absl::Seconds(2);

} // namespace

connection_pool::connection_pool(asio::io_context& context, std::size_t max_idle_per_target,
                                 std::size_t max_buffer_bytes, connection_limits limits, std::uint64_t& link_bytes)
    : m_context(context), m_max_idle_per_target(max_idle_per_target), m_max_buffer_bytes(max_buffer_bytes),
      m_health(limits), m_link_bytes(link_bytes) {}

std::unique_ptr<pooled_connection> connection_pool::take(const endpoint& target, bool is_idempotent, absl::Time now) {
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return nullptr;
    }
    idle_list& idle = found->second;
    while (!idle.empty()) {
        // The list is ordered by last use, so all other connections have been idle for longer.
        if (!m_health.is_expired(idle.back()->info(), now) &&
            !m_health.may_reuse(idle.back()->info(), is_idempotent, now)) {
            return nullptr;
        }
        auto connection = std::move(idle.back());
        idle.pop_back();
        const idle_state state = check_idle(connection->stream.socket(), connection->buffer);
        if (state == idle_state::surplus) {
            suspend_reuse(target, now);
            return nullptr;
        }
        if (state == idle_state::quiet && !m_health.is_expired(connection->info(), now)) {
            return connection;
        }
    }
    return nullptr;
}

std::unique_ptr<pooled_connection> connection_pool::create(const endpoint& target) {
    auto connection = std::make_unique<pooled_connection>(m_context, target, m_max_buffer_bytes);
    connection->id = m_next_id++;
    return connection;
}

void connection_pool::put(std::unique_ptr<pooled_connection> connection, absl::Time now) {
    if (check_idle(connection->stream.socket(), connection->buffer) == idle_state::surplus) {
        suspend_reuse(connection->target, now);
    }
    if (const auto suspended = m_suspended_until.find(connection->target); suspended != m_suspended_until.end()) {
        if (now < suspended->second) {
            return;
        }
        m_suspended_until.erase(suspended);
    }
    idle_list& idle = m_idle[connection->target];
    if (idle.size() >= m_max_idle_per_target) {
        return;
    }
    connection->last_received_at = now;
    connection->stream.expires_never();
    idle.push_back(std::move(connection));
}

void connection_pool::suspend_reuse(const endpoint& target, absl::Time now) {
    m_suspended_until[target] = now + reuse_suspension;
    m_idle.erase(target);
}

std::size_t connection_pool::retire(const pooled_connection& timed_out, absl::Time request_sent) {
    const auto found = m_idle.find(timed_out.target);
    if (found == m_idle.end()) {
        return 0;
    }
    std::vector<connection_info> others;
    others.reserve(found->second.size());
    for (const auto& connection : found->second) {
        others.push_back(connection->info());
    }
    const auto suspects = connection_health::connections_to_retire(timed_out.info(), request_sent, others);
    return std::erase_if(found->second, [&](const auto& connection) {
        return std::ranges::find(suspects, connection->id) != suspects.end();
    });
}

void connection_pool::close_expired(absl::Time now) {
    for (auto& [target, idle] : m_idle) {
        std::erase_if(idle, [&](const auto& connection) { return m_health.is_expired(connection->info(), now); });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(m_suspended_until, [now](const auto& entry) { return entry.second <= now; });
}

std::size_t connection_pool::idle_count() const {
    std::size_t count = 0;
    for (const auto& [target, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace amaranthladder
