#pragma once

#include "config/intended_state.h"

#include <string>
#include <vector>

namespace amaranthladder {

/// @param from one state.
/// @param to another state.
/// @return one line for each section that differs, such as `changed route shop`, ordered by kind and name. The files
/// and lines of sections and the versions that introduced moves are not compared.
std::vector<std::string> state_differences(const intended_state& from, const intended_state& to);

} // namespace amaranthladder
