#pragma once

#include "config/config_problem.h"
#include "config/intended_state.h"

#include <functional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Validates an intended state: the operator's tool before it publishes, and each daemon again before it applies a
/// version.
class validator {
public:
    /// Returns the position of a key, given the section as `KIND NAME`, the key (empty: the section line) and the
    /// position of the section.
    using line_finder =
        std::function<source_line(const std::string& section, const std::string& key, const source_line& origin)>;

    /// @param state the state to check.
    /// @param find_line returns the positions for the problems; if empty, each problem has the position of its section.
    /// @return all problems: invalid names, values out of range, unknown services, ambiguous routes, shares without
    /// weight and conflicting moves. Empty if the state is valid.
    static std::vector<config_problem> check(const intended_state& state, const line_finder& find_line = {});

    /// @throws config_error_list if @p state is not valid.
    static void require_valid(const intended_state& state);
};

} // namespace amaranthladder
