#pragma once

#include "common/endpoint.h"
#include "peers/member.h"
#include "peers/opaque_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Record of the daemon that holds a watcher lease, which daemons exchange so that the others notice a lost holder
/// without a store call.
struct watcher_lease_record {
    /// Increases with each change of the holder; the record with the higher epoch wins a merge.
    std::uint64_t epoch = 0;
    std::optional<endpoint> holder; ///< Peer address of the holder; empty after it has given up the lease.

    /// @return the encoded record, as decode() accepts it.
    std::string encode() const;

    /// @throws error with result_code::message_malformed.
    static watcher_lease_record decode(std::string_view bytes);

    friend bool operator==(const watcher_lease_record&, const watcher_lease_record&) = default;
};

/// Prefix of the keys of these records in the opaque table that peers replicate.
inline constexpr std::string_view watcher_lease_record_prefix = "seat/";

/// @return the key of the record of watcher lease @p number of @p data_center.
std::string watcher_lease_record_key(const std::string& data_center, int number);

/// @param key of the record of a watcher lease.
/// @param records the opaque table.
/// @param members all known daemons.
/// @param self peer address of this daemon.
/// @return true if the record names another daemon that is alive or suspected.
/// @throws error with result_code::message_malformed.
bool is_watcher_lease_taken(const std::string& key, const std::vector<opaque_record>& records,
                            const std::vector<member>& members, const endpoint& self);

/// Merges two states of one record; daemons agree whatever the order of the merges.
/// @param held the state that this daemon has; may be empty.
/// @param heard the state that a peer sent.
/// @return the merged state; @p held if @p heard, or a @p held that is not empty, cannot be decoded.
std::string merge_watcher_lease_records(const std::string& held, const std::string& heard);

} // namespace amaranthladder
