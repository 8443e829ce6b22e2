#pragma once

#include "config/config_problem.h"
#include "config/intended_state.h"

#include <functional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Checks a whole intended state. The operator's tool checks before it publishes, and each daemon checks again before
/// it applies a version.
class validator {
public:
    /// Finds the line of a key: the section as `KIND NAME`, the key (empty: the section line) and the section's line.
    using line_finder =
        std::function<source_line(const std::string& section, const std::string& key, const source_line& origin)>;

    /// @param state the state to check.
    /// @param find_line for the lines in problems; without it each problem names the line of its section.
    /// @return all problems: names, ranges, unknown services, ambiguous routes, shares without weight and
    /// contradicting moves. Empty if the state is valid.
    static std::vector<config_problem> check(const intended_state& state, const line_finder& find_line = {});

    /// @throws config_error_list if @p state is not valid.
    static void require_valid(const intended_state& state);
};

} // namespace amaranthladder
