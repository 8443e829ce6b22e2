#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace amaranthladder {

/// Type of a value in a configuration file.
enum class config_type {
    integer,
    milliseconds, ///< Integer; the key ends with `_ms`.
    boolean,      ///< `yes` or `no`.
    name,
    path,
    methods, ///< HTTP methods separated by commas.
    time,    ///< RFC 3339.
    kind,    ///< A route_kind by name.
    weights, ///< `NAME WEIGHT`, separated by commas.
    host,    ///< Name or address, without a port.
    number,  ///< Decimal number.
    keys,    ///< Keys of callers, separated by commas.
};

/// Describes one key of the configuration folder. The reader, the validator and docs/configuration.md use these rows.
struct config_key {
    std::string_view section; ///< Kind of the section.
    std::string_view key;     ///< `VERSION` stands for any version name.
    config_type type;
    bool is_required;
    std::string_view default_text; ///< Effective value when an optional key is absent.
    std::int64_t low;              ///< Smallest integer; 0 for the other types.
    std::int64_t high;             ///< Largest integer; 0 for the other types.
    std::string_view description;
};

/// Key of the rows that match any version name.
inline constexpr std::string_view any_version = "VERSION";

/// @return all keys, grouped by section.
std::span<const config_key> config_keys();

/// @return the row of @p key in a section of kind @p section, or nullptr. In a share every key is a version.
const config_key* find_config_key(std::string_view section, std::string_view key);

/// @return true if a section of kind @p section exists.
bool is_config_section(std::string_view section);

/// @return a readable name of @p type, for messages and documentation.
std::string_view name(config_type type);

} // namespace amaranthladder
