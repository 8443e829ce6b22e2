#pragma once

#include "common/error.h"

#include <string>
#include <vector>

namespace amaranthladder {

/// A problem found in an INI file.
struct config_problem {
    result_code code = result_code::internal_error;
    std::string file;
    int line = 0;        ///< Counted from 1; 0 if the problem concerns the whole file or folder.
    std::string section; ///< Without brackets; may be empty.
    std::string key;     ///< May be empty.
    std::string text;    ///< What is wrong and what is allowed instead.

    friend bool operator==(const config_problem&, const config_problem&) = default;
};

/// @return `FILE:LINE: NUMBER NAME: [SECTION] KEY: TEXT`, without the parts that @p problem lacks.
std::string to_string(const config_problem& problem);

/// Reports all problems of a file or folder, ordered by file and line. The code is that of the first problem; the
/// message has one line per problem.
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

/// @param problems the problems found; may be empty.
/// @throws config_error_list if @p problems is not empty.
void throw_if_any(std::vector<config_problem> problems);

} // namespace amaranthladder
