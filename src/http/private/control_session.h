#pragma once

#include "http/control_request.h"
#include "http/private/asio_types.h"

#include <functional>

namespace amaranthladder {

/// Serves one connection of an upstream or of the platform: small requests that are answered at once.
/// @param socket the connection.
/// @param handler answers each request; runs on the event loop's thread.
asio::awaitable<void> serve_control(asio::ip::tcp::socket socket,
                                    std::function<control_reply(const control_request&)> handler);

} // namespace amaranthladder
