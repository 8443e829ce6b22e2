#pragma once

#include "common/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Which daemon holds a store seat, as daemons tell each other. It lets daemons without the seat notice a lost holder
/// without a store call.
struct watcher_lease_record {
    std::uint64_t epoch = 0;        ///< Grows with each change of the holder; the higher one wins a merge.
    std::optional<endpoint> holder; ///< Peer address of the holder; empty after it has given the seat up.

    /// @return the record in the form that decode() reads.
    std::string encode() const;

    /// @throws error with result_code::message_malformed.
    static watcher_lease_record decode(std::string_view bytes);

    friend bool operator==(const watcher_lease_record&, const watcher_lease_record&) = default;
};

/// Prefix of the keys of seat records in the peers' opaque table.
inline constexpr std::string_view watcher_lease_record_prefix = "seat/";

/// @return the key of the record of seat @p number of @p data_center.
std::string watcher_lease_record_key(const std::string& data_center, int number);

/// @return the join of two states of one record; a state that does not decode is ignored.
std::string merge_watcher_lease_records(const std::string& held, const std::string& heard);

} // namespace amaranthladder
