#pragma once

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthladder {

/// Ways in which an upstream sends bytes that never become a complete response, or more bytes than its response.
enum class endless_kind {
    none,
    head_flood,      ///< Header lines without end, as fast as the connection takes them.
    head_line,       ///< One header line without end.
    head_drip,       ///< Header lines without end, a byte at a time.
    garbage,         ///< Bytes that are no response, without a line end.
    interim,         ///< Interim (1xx) responses, one after the other.
    chunk_flood,     ///< A chunked body without end.
    chunk_drip,      ///< A chunked body without end, one byte per chunk.
    chunk_extension, ///< A chunk extension without end.
    chunk_trailer,   ///< Trailer fields without end.
    close_flood,     ///< A body that ends with the connection, without end.
    close_drip,      ///< The same, a byte at a time.
    length_drip,     ///< A body of declared length, a byte at a time.
    surplus,         ///< Bytes after a complete response.
    late_surplus,    ///< Bytes that follow a complete response after a pause.
    late_duplicate,  ///< A second copy of a complete response after a pause.
};

constexpr std::array<std::pair<endless_kind, std::string_view>, 16> endless_kind_names{{
    {endless_kind::none, "none"},
    {endless_kind::head_flood, "head-flood"},
    {endless_kind::head_line, "head-line"},
    {endless_kind::head_drip, "head-drip"},
    {endless_kind::garbage, "garbage"},
    {endless_kind::interim, "interim"},
    {endless_kind::chunk_flood, "chunk-flood"},
    {endless_kind::chunk_drip, "chunk-drip"},
    {endless_kind::chunk_extension, "chunk-extension"},
    {endless_kind::chunk_trailer, "chunk-trailer"},
    {endless_kind::close_flood, "close-flood"},
    {endless_kind::close_drip, "close-drip"},
    {endless_kind::length_drip, "length-drip"},
    {endless_kind::surplus, "surplus"},
    {endless_kind::late_surplus, "late-surplus"},
    {endless_kind::late_duplicate, "late-duplicate"},
}};

/// The kinds that never become a complete response.
constexpr std::array<endless_kind, 12> unfinished_kinds{
    endless_kind::head_flood,    endless_kind::head_line,   endless_kind::head_drip,  endless_kind::garbage,
    endless_kind::interim,       endless_kind::chunk_flood, endless_kind::chunk_drip, endless_kind::chunk_extension,
    endless_kind::chunk_trailer, endless_kind::close_flood, endless_kind::close_drip, endless_kind::length_drip};

/// @return the name of @p kind on the command line.
std::string_view name(endless_kind kind);

inline std::ostream& operator<<(std::ostream& out, endless_kind kind) {
    return out << name(kind);
}

/// @return the kind with that name, or nothing.
std::optional<endless_kind> parse_endless_kind(std::string_view text);

/// Bytes of one kind of endless response.
struct endless_bytes {
    std::string first;    ///< Sent once.
    std::string repeated; ///< Sent again and again; empty if nothing follows.
    bool is_drip = false; ///< `repeated` is sent a byte at a time.
};

/// @param kind any kind but those that follow a complete response.
/// @param headers header lines that a complete response would have, each with its line end.
endless_bytes make_endless_bytes(endless_kind kind, const std::string& headers);

} // namespace amaranthladder
