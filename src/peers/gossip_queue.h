#pragma once

#include "peers/messages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace amaranthladder {

/// Changes waiting to be sent with datagrams. Urgent changes go first, then those sent least often.
class gossip_queue {
public:
    /// @param capacity changes kept at most; others are left to table repair.
    explicit gossip_queue(std::size_t capacity);

    /// Adds a change; it replaces an earlier change of the same key.
    /// @param tombstone_since when the record became a tombstone; the infinite future for a live record.
    void add(table_id table, const std::string& key, std::string bytes, absl::Time tombstone_since, bool is_urgent);

    /// Takes changes for one datagram.
    /// @param budget bytes left in the datagram.
    /// @param transmissions a change sent this many times is dropped from the queue.
    std::vector<table_record> take(std::size_t budget, int transmissions, absl::Time now);

    void clear();

    std::size_t size() const {
        return m_changes.size();
    }

    /// @return bytes that a record takes in a datagram, at most.
    static std::size_t wire_size(std::size_t record_bytes);

    /// @return seconds since @p tombstone_since for the wire; 0 for a live record.
    static std::uint32_t age_seconds(absl::Time tombstone_since, absl::Time now);

private:
    using change_key = std::pair<table_id, std::string>;
    using send_priority = std::tuple<bool, int, std::uint64_t>; // not urgent, times sent, number

    struct change {
        std::string bytes;
        absl::Time tombstone_since;
        send_priority priority;
    };

    std::size_t m_capacity;
    std::uint64_t m_next_number = 0;
    absl::flat_hash_map<change_key, change> m_changes;
    std::set<std::pair<send_priority, change_key>> m_by_priority;
};

} // namespace amaranthladder
