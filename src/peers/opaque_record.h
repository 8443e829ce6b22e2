#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace amaranthladder {

/// A record whose content only its own module understands, e.g. a move record.
struct opaque_record {
    std::string key;
    std::string bytes;

    friend bool operator==(const opaque_record&, const opaque_record&) = default;
};

constexpr std::size_t max_opaque_bytes = std::size_t{64} * 1024;

/// How the records of the opaque table are merged.
struct opaque_rules {
    /// The join of two states of one record. Must be commutative, associative and idempotent, or the daemons never
    /// agree. A state that does not decode is to be ignored: return @p stored.
    std::function<std::string(const std::string& key, const std::string& stored, const std::string& received)> merge;

    /// @return true if the record may be dropped and is not to be taken again, e.g. because its move is no longer part
    ///         of the configuration. May be empty: nothing is dropped.
    std::function<bool(const opaque_record& record)> is_obsolete;

    /// @return true if a change to this state is to reach all daemons within a few seconds at the cost of more bytes,
    ///         e.g. because a move was taken back. May be empty: no change is urgent.
    std::function<bool(const opaque_record& record)> is_urgent;
};

} // namespace amaranthladder
