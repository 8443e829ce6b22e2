#pragma once

#include "config/config_problem.h"
#include "config/intended_state.h"

#include <map>
#include <string>
#include <vector>

namespace amaranthladder {

/// A file of a configuration folder.
struct config_file {
    std::string name; ///< Without the folder.
    std::string text;
};

/// A value and its position in the folder.
struct merged_value {
    std::string text;
    source_line origin;
};

/// A section after the merge.
struct merged_section {
    std::string kind;
    std::string name;
    source_line origin; ///< The section line in the last file that has the section.
    std::map<std::string, merged_value> values;
};

/// The merged sections of a folder, keyed by the text of the section line (`KIND NAME`).
using merged_folder = std::map<std::string, merged_section>;

/// Loads the files of a configuration folder and merges them key by key. A file overrides single keys of the files
/// whose names sort before its own; it cannot remove a key or a section.
class folder_merger {
public:
    /// Limit of the total size of all files; the same as for an encoded snapshot.
    static constexpr std::size_t max_folder_bytes = std::size_t{16} * 1024 * 1024;

    /// Reads the files `*.ini` of a folder. Files whose names start with a dot and subfolders are ignored.
    /// @param folder path of the folder.
    /// @return the files in the order of their names, compared byte by byte.
    /// @throws config_error_list with file_unreadable, config_folder_empty, config_bad_name or config_too_large.
    static std::vector<config_file> load(const std::string& folder);

    /// @param files the files in any order.
    /// @param problems receives the problems found.
    /// @return the merged sections of known kinds with valid names.
    static merged_folder merge(std::vector<config_file> files, std::vector<config_problem>& problems);
};

} // namespace amaranthladder
