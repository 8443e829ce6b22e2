#pragma once

#include <string>

namespace amaranthladder {

/// Generates the Markdown reference pages from the tables that the programs use.
class reference_writer {
public:
    /// @return the content of docs/settings.md.
    static std::string settings_page();

    /// @return the content of docs/result-codes.md.
    static std::string result_codes_page();

    /// @return the table of keys for docs/configuration.md.
    static std::string configuration_keys_table();

    /// Replaces the table of keys between the lines `<!-- keys -->` and `<!-- end of keys -->` of a page.
    /// @param page the text of docs/configuration.md.
    /// @return the page with the current table.
    /// @throws error with result_code::usage if the page lacks one of the lines.
    static std::string replace_configuration_keys(const std::string& page);
};

} // namespace amaranthladder
