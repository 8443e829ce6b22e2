#pragma once

#include "common/result_code.h"
#include "config/intended_state.h"
#include "tool/tool_options.h"

#include <functional>
#include <iosfwd>

namespace amaranthladder {

/// Runs one command of the tool.
class tool_commands {
public:
    /// @param options a validated command line.
    /// @param out receives results.
    /// @param errors receives error messages.
    tool_commands(tool_options options, std::ostream& out, std::ostream& errors);

    /// @param is_stopped polled by `watch` about ten times a second.
    /// @return the result of the command; errors are printed and returned, not thrown.
    result_code run(const std::function<bool()>& is_stopped);

private:
    result_code check();
    /// @return the state that --against names.
    intended_state read_base() const;
    result_code apply();
    result_code watch(const std::function<bool()>& is_stopped);
    result_code status();
    result_code explain();
    result_code report();
    result_code run_and_report_errors(const std::function<result_code()>& body);
    void print_result(result_code code, const std::string& text);

    tool_options m_options;
    std::ostream& m_out;
    std::ostream& m_errors;
};

} // namespace amaranthladder
