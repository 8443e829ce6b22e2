#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Parses a duration such as `500ms`, `3s`, `10m` or `1h`.
/// @param text a whole number with a unit, without spaces.
/// @return the duration.
/// @throws error with setting_bad_value, setting_bad_unit or setting_out_of_range (over 2^31 milliseconds).
absl::Duration parse_duration(std::string_view text);

/// @param value a duration in whole milliseconds.
/// @return @p value in the largest unit that needs no fraction.
std::string format_duration(absl::Duration value);

/// Parses a size such as `1200B`, `64KiB` or `16MiB`.
/// @param text a whole number with a unit, without spaces.
/// @return the size in bytes.
/// @throws error with setting_bad_value, setting_bad_unit or setting_out_of_range (over 2^40 bytes).
std::int64_t parse_size(std::string_view text);

/// @param bytes a size in bytes.
/// @return @p bytes in the largest unit that needs no fraction.
std::string format_size(std::int64_t bytes);

/// Parses a whole number.
/// @throws error with setting_bad_value or setting_out_of_range (over 2^63).
std::int64_t parse_integer(std::string_view text);

/// Parses a finite number, which may have a fraction.
/// @throws error with result_code::setting_bad_value.
double parse_decimal(std::string_view text);

} // namespace amaranthladder
