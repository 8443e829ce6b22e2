#include "peers/gossip_queue.h"

#include <algorithm>

namespace amaranthladder {

namespace {

// Bounds the time spent on one datagram when many records do not fit.
constexpr int max_scanned = 64;

} // namespace

gossip_queue::gossip_queue(std::size_t capacity) : m_capacity(capacity) {}

void gossip_queue::add(table_id table, const std::string& key, std::string bytes, absl::Time tombstone_since,
                       bool is_urgent) {
    change_key id(table, key);
    if (const auto found = m_changes.find(id); found != m_changes.end()) {
        m_by_priority.erase({found->second.priority, id});
        m_changes.erase(found);
    }
    const send_priority priority(!is_urgent, 0, m_next_number++);
    m_changes.emplace(id, change{std::move(bytes), tombstone_since, priority});
    m_by_priority.emplace(priority, std::move(id));
    if (m_changes.size() > m_capacity) {
        const auto last = std::prev(m_by_priority.end());
        m_changes.erase(last->second);
        m_by_priority.erase(last);
    }
}

std::vector<table_record> gossip_queue::take(std::size_t budget, int transmissions, absl::Time now) {
    std::vector<table_record> taken;
    std::vector<change_key> sent;
    int scanned = 0;
    for (auto next = m_by_priority.begin(); next != m_by_priority.end() && scanned < max_scanned; ++next, ++scanned) {
        const change& waiting = m_changes.at(next->second);
        const std::size_t size = wire_size(waiting.bytes.size());
        if (size > budget) {
            continue;
        }
        budget -= size;
        taken.push_back({next->second.first, waiting.bytes, age_seconds(waiting.tombstone_since, now)});
        sent.push_back(next->second);
    }
    for (const change_key& id : sent) {
        change& waiting = m_changes.at(id);
        m_by_priority.erase({waiting.priority, id});
        if (++std::get<1>(waiting.priority) >= transmissions) {
            m_changes.erase(id);
        } else {
            m_by_priority.emplace(waiting.priority, id);
        }
    }
    return taken;
}

void gossip_queue::clear() {
    m_changes.clear();
    m_by_priority.clear();
}

std::size_t gossip_queue::wire_size(std::size_t record_bytes) {
    // Field headers, table number, two bytes of length, up to five bytes of age, end of the struct.
    constexpr std::size_t overhead = 13;
    return record_bytes + overhead;
}

std::uint32_t gossip_queue::age_seconds(absl::Time tombstone_since, absl::Time now) {
    if (tombstone_since >= now) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min<std::int64_t>(absl::ToInt64Seconds(now - tombstone_since), 1U << 30U));
}

} // namespace amaranthladder
