#pragma once

#include "common/result_code.h"

#include <stdexcept>
#include <string>

namespace amaranthladder {

/// An exception with a result code. Its message is human-readable and starts with the code's number and name.
class error : public std::runtime_error {
public:
    /// @param code the result code.
    /// @param detail what was wrong and where, without the code.
    error(result_code code, const std::string& detail);

    /// @return the result code.
    result_code code() const noexcept {
        return m_code;
    }

private:
    result_code m_code;
};

} // namespace amaranthladder
