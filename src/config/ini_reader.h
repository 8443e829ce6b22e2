#pragma once

#include "config/config_problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// A line `key = value`.
struct ini_value {
    std::string key;
    std::string value;
    int line = 0;
};

/// A section line `[name]` with the values below it, if any.
struct ini_section {
    std::string name;
    int line = 0;
    std::vector<ini_value> values;
};

/// The lines of an INI file that could be parsed.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
};

/// Result codes that an ini_reader reports; settings files and configuration files use different ones.
struct ini_codes {
    result_code syntax;
    result_code duplicate;
    result_code too_large;
};

/// Reads INI files with the inih library, strictly and with line numbers.
///
/// A comment is a whole line that starts with `;` or `#`. There are no comments after a value, so a value may contain
/// these characters. A value cannot span several lines. Only `=` separates a key from its value. Spaces around
/// sections, keys and values are removed. Duplicate sections in a file, duplicate keys in a section, control
/// characters, lines over max_line_bytes and files over max_file_bytes are errors.
class ini_reader {
public:
    static constexpr std::size_t max_line_bytes = 4096;
    static constexpr std::size_t max_file_bytes = std::size_t{4} * 1024 * 1024;

    /// @param codes the result codes to report.
    explicit ini_reader(const ini_codes& codes);

    /// Parses a file.
    /// @param file name of the file, for messages.
    /// @param text its content.
    /// @param problems receives one entry for each line that cannot be parsed.
    /// @return the lines that could be parsed. Values below an invalid section line are left out and not reported
    /// separately.
    ini_document read(const std::string& file, std::string_view text, std::vector<config_problem>& problems) const;

private:
    ini_codes m_codes;
};

} // namespace amaranthladder
