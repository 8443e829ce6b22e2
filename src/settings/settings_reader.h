#pragma once

#include "common/endpoint.h"
#include "config/config_problem.h"
#include "settings/settings_table.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthladder {

/// Validated settings of a program, with defaults for those that the file omits.
class settings_values {
public:
    /// @param table the settings of the program; must outlive this object.
    /// @param texts the validated values by section and key.
    settings_values(settings_table table, std::map<std::pair<std::string, std::string>, std::string> texts);

    /// Each accessor requires a setting whose type in the table matches the return type.
    /// @throws std::out_of_range if the table has no such setting.
    std::string text(std::string_view section, std::string_view key) const;
    endpoint address(std::string_view section, std::string_view key) const;
    std::vector<endpoint> addresses(std::string_view section, std::string_view key) const;
    absl::Duration duration(std::string_view section, std::string_view key) const;
    /// @return a number that may have a fraction.
    double decimal(std::string_view section, std::string_view key) const;

    /// @return an integer, or a size in bytes.
    std::int64_t integer(std::string_view section, std::string_view key) const;

    /// @return all settings in the format of the file, each preceded by its description. settings_reader accepts the
    /// text.
    std::string format() const;

private:
    settings_table m_table;
    std::map<std::pair<std::string, std::string>, std::string> m_texts;
};

/// Reads a program's settings from an INI file and validates each value against the table.
class settings_reader {
public:
    /// @param table the settings of the program; must outlive the reader and its results.
    explicit settings_reader(settings_table table);

    /// @param file name of the file, for error messages.
    /// @param text content of the file.
    /// @return the settings.
    /// @throws config_error_list with all problems: setting_syntax, setting_duplicate, setting_unknown,
    /// setting_missing, setting_bad_value, setting_bad_unit, setting_out_of_range.
    settings_values read(const std::string& file, std::string_view text) const;

private:
    settings_table m_table;
};

/// @return the table's settings in the format of the file: defaults, and a comment for each required setting.
std::string format_defaults(settings_table table);

} // namespace amaranthladder
