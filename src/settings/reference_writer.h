#pragma once

#include <string>

namespace amaranthladder {

/// Writes reference pages in Markdown from the tables that the programs use.
class reference_writer {
public:
    /// @return docs/settings.md.
    static std::string settings_page();

    /// @return docs/result-codes.md.
    static std::string result_codes_page();

    /// @return the table of keys for docs/configuration.md.
    static std::string configuration_keys_table();

    /// Replaces the table of keys in a page; it stands between the lines `<!-- keys -->` and `<!-- end of keys -->`.
    /// @param page the text of docs/configuration.md.
    /// @return the page with the present table.
    /// @throws error with result_code::usage if the page lacks one of the lines.
    static std::string replace_configuration_keys(const std::string& page);
};

} // namespace amaranthladder
