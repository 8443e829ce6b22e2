#pragma once

#include "common/endpoint.h"
#include "quota/quota_limits.h"
#include "quota/quota_message.h"

#include <functional>

namespace amaranthladder {

/// Connects the quotas of the data path with other daemons.
struct quota_transport {
    endpoint self; ///< Address of this daemon for messages of peers.
    quota_limits limits;
    /// Sends a message that may be lost. Called on the event loop's thread; must not block.
    std::function<void(const endpoint& to, const quota_message& message)> send;
};

} // namespace amaranthladder
