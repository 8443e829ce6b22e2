#pragma once

#include <string>

namespace amaranthladder {

/// A request of an upstream or of the platform to the daemon itself, such as an upstream's announcement.
struct control_request {
    std::string method;
    std::string target;
    std::string body;
};

/// The response to a control_request.
struct control_reply {
    unsigned status = 200; ///< HTTP status.
    std::string body;      ///< JSON; may be empty.
};

} // namespace amaranthladder
