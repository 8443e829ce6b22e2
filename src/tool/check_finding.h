#pragma once

#include "config/config_problem.h"
#include "config/intended_state.h"

#include <functional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// How grave a finding is.
enum class finding_severity {
    error,      ///< The daemons refuse the folder.
    warning,    ///< The daemons accept it, but a part of it has no effect or contradicts another.
    difference, ///< From the configuration compared with.
};

/// @return the stable name of @p severity.
std::string_view name(finding_severity severity);

/// One finding of a folder_check.
struct check_finding {
    finding_severity severity = finding_severity::error;
    config_problem problem; ///< Code, position and description.
    std::string fix;        ///< Suggested correction.
};

/// Finds the position of a key: the section as `KIND NAME`, the key (may be empty), the position of the section.
using finding_line =
    std::function<source_line(const std::string& section, const std::string& key, const source_line& origin)>;

/// @return a short suggestion for a problem with the code @p code that a folder can have.
std::string_view suggested_fix(result_code code);

/// @return the finding of a problem, with the fix for its code.
check_finding make_finding(finding_severity severity, config_problem problem);

/// @return a warning about a key of a section that the daemons accept.
/// @param section the section as `KIND NAME`.
/// @param origin position of the section, from which @p line finds that of the key.
check_finding make_warning(const finding_line& line, result_code code, const std::string& section,
                           const std::string& key, const source_line& origin, std::string text);

/// @return the finding as one line: position, number, name, section, key, text and fix.
std::string to_string(const check_finding& finding);

} // namespace amaranthladder
