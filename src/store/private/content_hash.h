#pragma once

#include <string>
#include <string_view>

namespace amaranthladder {

/// @return the SHA-256 of @p bytes, 64 lower-case hexadecimal digits.
std::string content_hash(std::string_view bytes);

} // namespace amaranthladder
