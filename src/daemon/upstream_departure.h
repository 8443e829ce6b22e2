#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// How an upstream has said that it goes; later ones replace earlier ones of the same start.
enum class departure_kind {
    announced, ///< An announcement said that it leaves. Only a later announcement revokes that.
    responded, ///< A response said that it leaves. Only a new start revokes that.
    ended,     ///< It has withdrawn itself, or another upstream has its address. Only a new start revokes that.
};

/// @return the stable name of @p kind.
std::string_view name(departure_kind kind);

/// What an upstream has said of its leaving. Daemons exchange it as an opaque record, so that the owner still knows it
/// after a restart: announcements that were sent before may arrive seconds later, and not all upstreams that leave
/// announce it.
struct upstream_departure {
    absl::Time started_at; ///< Start of the upstream's process; applies to this start and earlier ones.
    departure_kind kind = departure_kind::announced;
    std::uint64_t sequence = 0; ///< Number of the announcement, for departure_kind::announced.
    absl::Time said_at;         ///< By the clock of the owner that heard it.

    /// @return true if @p announced_start and @p announced_sequence are those of an announcement that was sent before.
    bool supersedes(absl::Time announced_start, std::uint64_t announced_sequence) const;

    /// @return the encoded departure, as decode() accepts it.
    std::string encode() const;

    /// @throws error with result_code::message_malformed.
    static upstream_departure decode(std::string_view bytes);

    friend bool operator==(const upstream_departure&, const upstream_departure&) = default;
};

/// @return true if @p left replaces @p right. A strict total order, so that all daemons keep the same departure.
bool is_later(const upstream_departure& left, const upstream_departure& right);

/// @return true if @p departure need not be remembered any more: announcements are not delayed for so long.
bool is_obsolete(const upstream_departure& departure, absl::Time now);

/// Prefix of the keys of departures in the opaque records that daemons exchange; the rest is the upstream's id.
inline constexpr std::string_view departure_key_prefix = "departure/";

/// Merges two states of one record; daemons agree whatever the order of the merges.
/// @param held the state that this daemon has.
/// @param heard the state that a peer sent.
/// @return the later one; the other one if one of them cannot be decoded.
std::string merge_departure_records(const std::string& held, const std::string& heard);

} // namespace amaranthladder
