#pragma once

#include "common/error.h"

#include <string>
#include <vector>

namespace amaranthladder {

/// One thing that is wrong in an INI file.
struct config_problem {
    result_code code = result_code::internal_error;
    std::string file;
    int line = 0;        ///< Counted from 1; 0 if the problem concerns the whole file or folder.
    std::string section; ///< Without brackets; may be empty.
    std::string key;     ///< May be empty.
    std::string text;    ///< What is wrong and what is allowed.

    friend bool operator==(const config_problem&, const config_problem&) = default;
};

/// @return `FILE:LINE: NUMBER NAME: [SECTION] KEY: TEXT`, without the parts that @p problem lacks.
std::string to_string(const config_problem& problem);

/// All problems of a file or folder, in the order of files and lines. The code is that of the first problem, the
/// message has one line for each.
class config_error_list : public error {
public:
    /// @param problems at least one problem.
    explicit config_error_list(std::vector<config_problem> problems);

    const std::vector<config_problem>& problems() const noexcept {
        return m_problems;
    }

private:
    std::vector<config_problem> m_problems;
};

/// @param problems everything found.
/// @throws config_error_list if there is any problem.
void throw_if_any(std::vector<config_problem> problems);

} // namespace amaranthladder
