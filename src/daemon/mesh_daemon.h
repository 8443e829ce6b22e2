#pragma once

#include "common/endpoint.h"
#include "daemon/platform_interface.h"
#include "settings/daemon_settings.h"

#include <memory>
#include <optional>

namespace amaranthladder {

/// Addresses that a daemon listens on, with the actual ports where the settings say 0.
struct daemon_addresses {
    endpoint requests;
    endpoint control;
    endpoint peers;
};

/// One daemon: connects the data path, the control port, the peers, the store client and the moves.
class mesh_daemon {
public:
    /// Opens all sockets and starts all threads except that of the data path, see run().
    /// @throws error with result_code::listen_failed.
    /// @param platform the interface of a platform; empty for the project's own interface.
    explicit mesh_daemon(const daemon_settings& settings, std::optional<platform_interface> platform = std::nullopt);
    ~mesh_daemon();
    mesh_daemon(const mesh_daemon&) = delete;
    mesh_daemon& operator=(const mesh_daemon&) = delete;

    daemon_addresses addresses() const;

    /// Runs the data path until stop() is called or a drain has ended.
    void run();

    /// Logs a reload request; changed settings take effect at the next start.
    void log_reload();

    /// Starts a graceful shutdown: announces that the upstreams beside this daemon are leaving, waits until the other
    /// daemons have learned of it, then lets the requests in flight end. run() returns after that. May be called from
    /// any thread.
    void drain();

    /// Ends run() immediately. May be called from any thread.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
