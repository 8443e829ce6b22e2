#pragma once

#include <map>
#include <string>

namespace amaranthladder {

/// @return the texts of the state charts in charts/, embedded at build time, by file name without extension.
const std::map<std::string, std::string>& embedded_charts();

} // namespace amaranthladder
