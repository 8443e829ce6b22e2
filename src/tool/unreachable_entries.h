#pragma once

#include "config/intended_state.h"
#include "tool/check_finding.h"

#include <vector>

namespace amaranthladder {

/// Finds entries of a configuration that no request can use: routes whose requests all go to other routes, tenants
/// without keys, and shares and moves of services that no route names.
///
/// @param state the state; may be invalid.
/// @param line finds the positions of the findings.
std::vector<check_finding> find_unreachable_entries(const intended_state& state, const finding_line& line);

} // namespace amaranthladder
