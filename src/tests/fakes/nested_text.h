#pragma once

#include <string>

namespace amaranthladder {

/// @return @p inner between @p depth times @p open and @p depth times @p close, such as deeply nested JSON.
inline std::string nested(const std::string& open, const std::string& inner, const std::string& close, int depth) {
    std::string text;
    for (int level = 0; level < depth; ++level) {
        text += open;
    }
    text += inner;
    for (int level = 0; level < depth; ++level) {
        text += close;
    }
    return text;
}

} // namespace amaranthladder
