#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace amaranthladder {

/// Parses a text that consists of a number and nothing else.
/// @param format optional: the base of an integer, or the std::chars_format of a floating-point number.
/// @return the number, or nothing if @p text is another one, or a number that does not fit.
template <typename Number, typename... Format>
std::optional<Number> parse_number(std::string_view text, Format... format) {
    Number number = 0;
    const char* const end = text.data() + text.size();
    const auto [parsed_end, failure] = std::from_chars(text.data(), end, number, format...);
    return failure == std::errc{} && parsed_end == end ? std::optional(number) : std::nullopt;
}

} // namespace amaranthladder
