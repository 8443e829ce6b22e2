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

/// Changes waiting to be piggybacked on datagrams. Urgent changes go first, then those sent least often.
class gossip_queue {
public:
    /// @param capacity maximum number of queued changes; table repair covers those that are dropped.
    explicit gossip_queue(std::size_t capacity);

    /// Adds a change, replacing an earlier change of the same key.
    /// @param bytes the encoded record.
    /// @param tombstone_since when the record became a tombstone; infinite future for a live record.
    void add(table_id table, const std::string& key, std::string bytes, absl::Time tombstone_since, bool is_urgent);

    /// Selects changes for one datagram.
    /// @param budget bytes left in the datagram.
    /// @param transmissions number of times a change is sent before it leaves the queue.
    /// @return the selected changes.
    std::vector<table_record> take(std::size_t budget, int transmissions, absl::Time now);

    void clear();

    std::size_t size() const {
        return m_changes.size();
    }

    /// @return the maximum number of bytes that a record of @p record_bytes takes in a datagram.
    static std::size_t wire_size(std::size_t record_bytes);

    /// @return seconds since @p tombstone_since, as sent in messages; 0 for a live record.
    static std::uint32_t age_seconds(absl::Time tombstone_since, absl::Time now);

private:
    using change_key = std::pair<table_id, std::string>;
    using send_priority = std::tuple<bool, int, std::uint64_t>; // not urgent, times sent, insertion number

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
