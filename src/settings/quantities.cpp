#include "settings/quantities.h"

#include "common/error.h"
#include "common/parse_number.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <span>

namespace amaranthladder {

namespace {

struct unit {
    std::string_view name;
    std::int64_t factor;
};

constexpr auto duration_units =
    std::to_array<unit>({{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}});             // milliseconds
constexpr auto size_units = std::to_array<unit>({{"MiB", 1'048'576}, {"KiB", 1'024}, {"B", 1}}); // bytes

constexpr std::int64_t max_duration_ms = std::int64_t{1} << 31;
constexpr std::int64_t max_size_bytes = std::int64_t{1} << 40;

/// Removes the number at the start of @p text.
/// @return the number.
std::int64_t consume_number(std::string_view& text) {
    std::int64_t result = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), result);
    if (failure == std::errc::result_out_of_range) {
        throw error(result_code::setting_out_of_range, fmt::format("'{}' is too large", text));
    }
    if (failure != std::errc{}) {
        throw error(result_code::setting_bad_value, fmt::format("'{}' does not start with a whole number", text));
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return result;
}

std::int64_t parse_quantity(std::string_view text, std::span<const unit> units, std::int64_t max) {
    std::string_view rest = text;
    const std::int64_t number = consume_number(rest);
    for (const unit& candidate : units) {
        if (candidate.name != rest) {
            continue;
        }
        if (number < 0 || number > max / candidate.factor) {
            throw error(result_code::setting_out_of_range, fmt::format("'{}' is negative or too large", text));
        }
        return number * candidate.factor;
    }
    std::string names;
    for (const unit& candidate : units) {
        names += fmt::format("{}{}", names.empty() ? "" : ", ", candidate.name);
    }
    throw error(result_code::setting_bad_unit, fmt::format("'{}' needs one of the units {}", text, names));
}

std::string format_quantity(std::int64_t value, std::span<const unit> units) {
    for (const unit& candidate : units) {
        if (value != 0 && value % candidate.factor == 0) {
            return fmt::format("{}{}", value / candidate.factor, candidate.name);
        }
    }
    return fmt::format("{}{}", value, units.back().name);
}

} // namespace

absl::Duration parse_duration(std::string_view text) {
    return absl::Milliseconds(parse_quantity(text, duration_units, max_duration_ms));
}

std::string format_duration(absl::Duration value) {
    return format_quantity(absl::ToInt64Milliseconds(value), duration_units);
}

std::int64_t parse_size(std::string_view text) {
    return parse_quantity(text, size_units, max_size_bytes);
}

std::string format_size(std::int64_t bytes) {
    return format_quantity(bytes, size_units);
}

double parse_decimal(std::string_view text) {
    const std::optional<double> number = parse_number<double>(text);
    if (!number || !std::isfinite(*number)) {
        throw error(result_code::setting_bad_value, fmt::format("'{}' is not a number", text));
    }
    return *number;
}

std::int64_t parse_integer(std::string_view text) {
    std::string_view rest = text;
    const std::int64_t result = consume_number(rest);
    if (!rest.empty()) {
        throw error(result_code::setting_bad_value, fmt::format("'{}' is not a whole number", text));
    }
    return result;
}

} // namespace amaranthladder
