#pragma once

#include "common/result_code.h"

namespace amaranthladder {

/// Exit codes of the operator's tool, as listed in docs/tool.md.
enum class exit_status {
    ok = 0,
    refused = 1,     ///< The folder is not valid, `check` has findings, or a daemon refused a query.
    usage = 2,       ///< The command line is not valid.
    unavailable = 3, ///< The store or daemon cannot be reached; nothing was published.
    raced = 4,       ///< Another operator published first; nothing was published.
    unknown = 5,     ///< It is not known whether the configuration was published.
    failed = 6,      ///< Any other error.
};

/// @return the exit code for a command that ended with @p code.
exit_status exit_status_of(result_code code);

} // namespace amaranthladder
