#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace amaranthladder {

/// A record whose content is not interpreted by this module, e.g. a move record.
struct opaque_record {
    std::string key;
    std::string bytes;

    friend bool operator==(const opaque_record&, const opaque_record&) = default;
};

constexpr std::size_t max_opaque_bytes = std::size_t{64} * 1024;

/// Functions of the module that defines the content of the opaque records.
struct opaque_rules {
    /// Returns the join of two states of a record. Must be commutative, associative and idempotent; otherwise the
    /// daemons never converge. If @p received does not decode, returns @p stored.
    std::function<std::string(const std::string& key, const std::string& stored, const std::string& received)> merge;

    /// @return true if the record is to be dropped and not accepted again, e.g. because its move is no longer part of
    ///         the configuration. If empty, no record is dropped.
    std::function<bool(const opaque_record& record)> is_obsolete;

    /// @return true if a change to this state must reach all daemons within a few seconds, at the cost of more bytes,
    ///         e.g. because a move was rolled back. If empty, no change is urgent.
    std::function<bool(const opaque_record& record)> is_urgent;
};

} // namespace amaranthladder
