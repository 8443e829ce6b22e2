#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Key of the head, which alone determines the active configuration version.
inline const std::string config_head_key = "config/head";

/// Key of the index, which lists the pieces that have not been garbage-collected yet.
inline const std::string config_index_key = "config/index";

/// Builds the name of a piece: its version, '-' and the SHA-256 of its bytes.
///
/// The version makes garbage collection safe: a head names only pieces of its own version, so a piece whose version is
/// not above that of the head and which the head does not name can never be named again.
std::string config_piece_name(std::uint64_t version, std::string_view bytes);

/// @return the store key of the piece @p name.
std::string config_piece_key(const std::string& name);

/// @return the version in the name of a piece, or nothing if @p name is malformed.
std::optional<std::uint64_t> config_piece_version(const std::string& name);

/// A published version in the history of a head.
struct published_version {
    std::uint64_t version = 0;
    std::string publish_id;
};

/// Value of the head key: the active version and the pieces that hold its bytes.
struct config_head {
    std::uint64_t version = 0;
    std::string hash;                ///< SHA-256 of all bytes, 64 lower-case hexadecimal digits.
    std::vector<std::string> pieces; ///< Names of the pieces, in the order of the bytes.
    std::string publish_id;
    absl::Time publish_time;
    std::string operator_name;
    /// The latest versions in ascending order, including this one. An operator whose write got no response finds its
    /// publish id here even after others have published.
    std::vector<published_version> history;

    /// Maximum number of versions in the history.
    static constexpr std::size_t max_history = 32;

    /// @return the head as JSON.
    std::string to_text() const;

    /// @param text the value of the head key.
    /// @throws error with result_code::store_bad_answer.
    static config_head parse(const std::string& text);

    /// @return the publish id of @p wanted, or nothing if the history does not reach it.
    std::optional<std::string> publish_id_of(std::uint64_t wanted) const;
};

} // namespace amaranthladder
