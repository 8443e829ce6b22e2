#pragma once

#include "config/intended_state.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// A section that differs between two states.
struct section_difference {
    std::string_view change; ///< added, removed or changed.
    std::string_view kind;   ///< Kind of the section.
    std::string name;        ///< Name of the section.
    source_line origin;      ///< Of the section in the newer state, or in the older one if it was removed.
};

/// @return the sections that differ, as state_differences().
std::vector<section_difference> list_differences(const intended_state& from, const intended_state& to);

/// @param from one state.
/// @param to another state.
/// @return one line for each section that differs, such as `changed route shop`, ordered by kind and name. The files
/// and lines of sections and the versions that introduced moves are not compared.
std::vector<std::string> state_differences(const intended_state& from, const intended_state& to);

} // namespace amaranthladder
