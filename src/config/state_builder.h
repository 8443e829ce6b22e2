#pragma once

#include "config/config_problem.h"
#include "config/folder_merger.h"
#include "config/intended_state.h"

#include <vector>

namespace amaranthladder {

/// What the files of a folder add up to, valid or not.
struct checked_folder {
    merged_folder sections;
    intended_state state;                 ///< With a default for each value that is reported as a problem.
    std::vector<config_problem> problems; ///< Of all files; empty if the daemons accept the state.

    /// @param section the section as `KIND NAME`.
    /// @param key a key of the section; may be empty.
    /// @param origin the position of the section.
    /// @return the position of the key, or @p origin if the folder does not set it.
    source_line line_of(const std::string& section, const std::string& key, const source_line& origin) const;
};

/// Converts merged sections to an intended state. Ranges, names and references are checked by the validator.
class state_builder {
public:
    /// @param folder the merged sections; must outlive the builder.
    /// @param problems receives unknown keys, missing keys and values that cannot be read.
    state_builder(const merged_folder& folder, std::vector<config_problem>& problems);

    /// @return the state, with a default for each value that was reported as a problem.
    intended_state build();

    /// Merges, reads and validates the files of a folder.
    /// @param files the files, see folder_merger::load.
    static checked_folder build_checked(const std::vector<config_file>& files);

    /// Does the same for a folder that must be valid.
    /// @param files the files, see folder_merger::load.
    /// @return the intended state; `introduced_in` of its moves is not set, see stamp_moves().
    /// @throws config_error_list with all problems of all files.
    static intended_state build_valid(const std::vector<config_file>& files);

private:
    void read_service(const merged_section& section);
    void read_route(const merged_section& section);
    void read_share(const merged_section& section);
    void read_move(const merged_section& section);
    void read_limits(const merged_section& section);
    void read_tenant(const merged_section& section);

    const merged_folder& m_folder;
    std::vector<config_problem>& m_problems;
    intended_state m_state;
};

} // namespace amaranthladder
