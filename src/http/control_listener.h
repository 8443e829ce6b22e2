#pragma once

#include "common/endpoint.h"
#include "http/control_request.h"

#include <functional>
#include <memory>

namespace amaranthladder {

/// HTTP server for requests to the daemon itself, on threads of its own, so that a handler may wait for the data path.
/// Requests are limited in size and time.
class control_listener {
public:
    /// @param address address to listen on; port 0 selects a free port.
    /// @param handler answers a request. Called on several threads; must not throw.
    /// @throws error with result_code::listen_failed.
    control_listener(const endpoint& address, std::function<control_reply(const control_request&)> handler);
    ~control_listener();
    control_listener(const control_listener&) = delete;
    control_listener& operator=(const control_listener&) = delete;

    /// @return the address that the server listens on.
    const endpoint& address() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
