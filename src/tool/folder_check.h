#pragma once

#include "config/folder_merger.h"
#include "config/intended_state.h"
#include "tool/check_finding.h"

#include <cstddef>
#include <vector>

namespace amaranthladder {

/// Result of folder_check::run.
struct check_report {
    std::vector<check_finding> findings; ///< By severity, file and line.
    std::size_t services = 0;
    std::size_t routes = 0;
    std::size_t shares = 0;
    std::size_t moves = 0;
    std::size_t tenants = 0;

    /// @return ok without findings, else the code of the first one.
    result_code code() const;
};

/// Checks a configuration folder: the errors for which the daemons would refuse it, found by their own validator, then
/// entries that no request can use, limits that contradict each other, and differences from another state.
class folder_check {
public:
    /// @param files the files, see folder_merger::load.
    /// @param base the state to compare with; null: none.
    static check_report run(const std::vector<config_file>& files, const intended_state* base = nullptr);
};

} // namespace amaranthladder
