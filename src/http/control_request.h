#pragma once

#include <string>

namespace amaranthladder {

/// A small request of an upstream or of the platform to this daemon itself.
struct control_request {
    std::string method;
    std::string target;
    std::string body;
};

/// Its answer.
struct control_reply {
    unsigned status = 200; ///< HTTP status.
    std::string body;      ///< JSON; may be empty.
};

} // namespace amaranthladder
