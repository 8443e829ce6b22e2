#pragma once

#include <string>
#include <string_view>

namespace amaranthladder {

/// Length of a key_digest.
inline constexpr std::size_t key_digest_length = 32;

/// @return the digest by which the daemons know a caller's key: the first half of its SHA-256 as lower-case hexadecimal
///         digits. Distributing and comparing digests keeps the keys out of messages, logs and memory.
std::string key_digest(std::string_view key);

/// @return true if @p text has the form of a key_digest.
bool is_key_digest(std::string_view text);

} // namespace amaranthladder
