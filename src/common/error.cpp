#include "common/error.h"

#include <fmt/format.h>

namespace amaranthladder {

error::error(result_code code, const std::string& detail)
    : std::runtime_error(fmt::format("{} {}: {}", static_cast<int>(code), name(code), detail)), m_code(code) {}

} // namespace amaranthladder
