#pragma once

#include "common/endpoint.h"
#include "daemon/upstream_announcement.h"

#include <functional>
#include <memory>
#include <string>

namespace amaranthladder {

/// Functions of the daemon behind the control port. They are called on threads of the control server; an exception
/// becomes an HTTP error response.
struct control_handlers {
    std::function<void(const upstream_announcement& announcement)> announce;
    std::function<std::string()> status;                                    ///< JSON.
    std::function<std::string(const std::string& request)> explain_request; ///< JSON; @p request is `METHOD PATH`.
    std::function<std::string(const std::string& route)> explain_route;     ///< JSON.
    std::function<std::string(const std::string& move)> explain_move;       ///< JSON.
    std::function<std::string()> metrics;                                   ///< Prometheus text format.
};

/// HTTP server of the control port: upstream announcements, status, explanations and metrics.
class control_server {
public:
    /// @param address address to listen on; port 0 selects a free port.
    /// @throws error with result_code::listen_failed.
    control_server(const endpoint& address, control_handlers handlers);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    /// @return the address that the server listens on.
    const endpoint& address() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
