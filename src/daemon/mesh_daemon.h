#pragma once

#include "common/endpoint.h"
#include "daemon/platform_interface.h"
#include "settings/daemon_settings.h"

#include <memory>
#include <optional>

namespace amaranthladder {

/// Addresses that a daemon listens on, with the ports that were taken for port 0.
struct daemon_addresses {
    endpoint requests;
    endpoint control;
    endpoint peers;
};

/// One daemon: the data path, the control port, the peers, the store and the moves, wired together.
class mesh_daemon {
public:
    /// Opens all sockets and starts all threads but the data path's.
    /// @throws error with result_code::listen_failed.
    /// @param platform the interface of a platform, or nothing for the project's own.
    explicit mesh_daemon(const daemon_settings& settings, std::optional<platform_interface> platform = std::nullopt);
    ~mesh_daemon();
    mesh_daemon(const mesh_daemon&) = delete;
    mesh_daemon& operator=(const mesh_daemon&) = delete;

    daemon_addresses addresses() const;

    /// Serves requests until stop() or the end of a drain.
    void run();

    /// Logs that the settings file has changed; changed settings take effect at the next start.
    void log_reload();

    /// Starts a graceful shutdown, from any thread: announces that the upstreams beside this daemon leave, waits until
    /// other daemons know, then lets the requests in flight end. run() returns after that.
    void drain();

    /// Ends run() at once, from any thread.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
