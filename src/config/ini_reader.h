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

/// A line `[name]` with the values below it. May be empty of values.
struct ini_section {
    std::string name;
    int line = 0;
    std::vector<ini_value> values;
};

/// The readable lines of one INI file.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
};

/// The codes that a reader reports; settings and configuration files have their own.
struct ini_codes {
    result_code syntax;
    result_code duplicate;
    result_code too_large;
};

/// Reads INI files with the inih library, strictly and with line numbers.
///
/// A comment is a whole line that starts with `;` or `#`; there are no comments after a value, so a value may contain
/// these characters. A value ends with its line. Only `=` separates a key from its value. Spaces around sections,
/// keys and values are dropped. A section or a key that stands twice in one file is an error, as are control
/// characters, lines over max_line_bytes and files over max_file_bytes.
class ini_reader {
public:
    static constexpr std::size_t max_line_bytes = 4096;
    static constexpr std::size_t max_file_bytes = std::size_t{4} * 1024 * 1024;

    /// @param codes the codes to report.
    explicit ini_reader(const ini_codes& codes);

    /// @param file name of the file, for messages.
    /// @param text its content.
    /// @param problems receives one entry for each line that cannot be used.
    /// @return the lines that can be used. A value below an unreadable section line is left out without a problem of
    /// its own.
    ini_document read(const std::string& file, std::string_view text, std::vector<config_problem>& problems) const;

private:
    ini_codes m_codes;
};

} // namespace amaranthladder
