#pragma once

#include "common/result_code.h"

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
    unsigned status = 200;                 ///< HTTP status.
    std::string body;                      ///< May be empty.
    std::string type = "application/json"; ///< Media type of the body.
};

/// @return the reply to a request that is refused with @p code: a JSON body with the code, its name and @p detail.
control_reply make_error_reply(result_code code, const std::string& detail);

} // namespace amaranthladder
