#pragma once

#include "common/asio_types.h"
#include "http/control_request.h"

#include <functional>

namespace amaranthladder {

/// Serves the control requests on one connection of an upstream or of the platform.
/// @param socket the connection.
/// @param handler answers a request; runs on the event loop's thread and must not block.
asio::awaitable<void> serve_control(asio::ip::tcp::socket socket,
                                    std::function<control_reply(const control_request&)> handler);

} // namespace amaranthladder
