#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Type of a setting's value.
enum class setting_type {
    name,               ///< Follows name_rule.
    text,               ///< Any text; may be empty.
    log_level,          ///< Name of a log_level.
    endpoint,           ///< IP:PORT of another process; the port is not 0.
    listen_endpoint,    ///< IP:PORT to listen on; port 0 selects a free port.
    reachable_endpoint, ///< As listen_endpoint, but not a wildcard address, since it is announced to other hosts.
    endpoint_list,      ///< Endpoints separated by commas; may be empty.
    duration,           ///< With a unit; range in milliseconds.
    size,               ///< With a unit; range in bytes.
    integer,
    decimal, ///< A number that may have a fraction; empty: the default.
};

/// Definition of a setting, used by the reader, `--print-settings` and docs/settings.md.
struct setting_row {
    std::string_view section;
    std::string_view key;
    setting_type type;
    bool is_required;
    std::string_view default_text; ///< As written in the file.
    std::int64_t min_value;        ///< In the unit of the type; 0 for types without a range.
    std::int64_t max_value;
    std::string_view description;
};

/// The settings of a program, grouped by section.
using settings_table = std::span<const setting_row>;

/// @return the settings of the daemon.
settings_table daemon_settings_table();

/// @return the definition of a setting, or nullptr.
const setting_row* find_setting(settings_table table, std::string_view section, std::string_view key);

/// @return a human-readable description of the values allowed for @p row, with range and unit.
std::string allowed_values(const setting_row& row);

} // namespace amaranthladder
