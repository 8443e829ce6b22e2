#pragma once

#include "common/endpoint.h"
#include "daemon/upstream_announcement.h"

#include <functional>
#include <memory>
#include <string>

namespace amaranthladder {

/// What the control port asks of the daemon. The functions are called from threads of the control server; an error
/// that one throws becomes the answer.
struct control_handlers {
    std::function<void(const upstream_announcement& announcement)> announce;
    std::function<std::string()> status;                                    ///< JSON.
    std::function<std::string(const std::string& request)> explain_request; ///< JSON; `METHOD PATH`.
    std::function<std::string(const std::string& route)> explain_route;     ///< JSON.
    std::function<std::string(const std::string& move)> explain_move;       ///< JSON.
    std::function<std::string()> metrics;                                   ///< Prometheus text format.
};

/// Serves the control port over HTTP: announcements of upstreams, status, explanations and metrics.
class control_server {
public:
    /// @param address where to listen; port 0 takes a free port.
    /// @throws error with result_code::listen_failed.
    control_server(const endpoint& address, control_handlers handlers);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    /// @return the address in use.
    const endpoint& address() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
