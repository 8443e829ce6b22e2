#pragma once

#include "common/endpoint.h"
#include "fake_upstream.h"

#include <absl/time/time.h>
#include <httplib.h>
#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace amaranthladder {

class platform_store;

/// Limits of a platform, as its settings name them.
inline constexpr const char* default_platform_limits = "grace_s=6,drain_ms=2000,config_ms=2000";

/// One host of the users' platform: a daemon in a process of its own, started with the settings template of the deploy
/// file, and the upstream beside it in the test's process. All hosts of a test have the same ports at loopback
/// addresses of their own.
class platform_host {
public:
    /// Starts the daemon and the upstream. The upstream announces itself only through announce().
    /// @param store holds the configuration that the daemon follows.
    /// @param number distinguishes the hosts of a test; 1 to 200.
    /// @param limits of the platform, a list of `name=value`.
    platform_host(const platform_store& store, int number, const std::string& limits = default_platform_limits);
    ~platform_host();
    platform_host(const platform_host&) = delete;
    platform_host& operator=(const platform_host&) = delete;

    /// Starts the daemon again after kill() or after its end.
    void start();

    /// Kills the daemon without notice.
    void kill();

    /// Asks the daemon to stop.
    void terminate() const;

    /// Waits until the daemon has ended by itself.
    /// @return its wait status; -1 if it still runs after @p limit.
    int wait_for_end(absl::Duration limit);

    /// @return true if the daemon's process runs.
    bool is_running();

    /// @return the resident memory of the daemon in KiB; 0 if it does not run.
    long resident_kib() const;

    /// Sends a heartbeat of the upstream.
    /// @param sequence number of the heartbeat since the upstream's start.
    /// @return the HTTP status; 0 without an answer.
    int announce(std::uint64_t sequence, const std::string& state = "ready");

    /// Sends a heartbeat of the upstream under another id.
    int announce_as(const std::string& id, std::uint64_t sequence);

    /// @return the daemon's address for requests of callers.
    endpoint request_address() const;

    /// @return the daemon's address for its status and metrics.
    endpoint control_address() const;

    /// @return the daemon's address for messages between daemons.
    endpoint peer_address() const;

    /// Reports that the upstream has ended or ends soon.
    int withdraw();

    /// @return a client of this host's daemon.
    httplib::Client client() const;

    /// Sends requests until one gets @p status.
    /// @return false if none does within @p limit.
    bool wait_for_status(const std::string& path, int status, absl::Duration limit = absl::Seconds(15)) const;

    /// Announces the upstream, once the daemon has its configuration, and waits until it is used.
    /// @return false if that does not happen.
    bool start_upstream();

    /// Makes the upstream take this long for each request.
    void set_upstream_delay(absl::Duration delay);

    /// Makes the upstream answer each request, also health checks, with bytes that never end.
    void set_upstream_endless(endless_kind kind);

    /// @return the body of a heartbeat.
    std::string heartbeat(std::uint64_t sequence, const std::string& state) const;

    /// @return id of the upstream.
    std::string upstream_id() const;

    /// Waits until a daemon has logged @p text.
    /// @return false if none does within @p limit.
    bool wait_for_log(const std::string& text, absl::Duration limit = absl::Seconds(10)) const;

    /// @return what the daemons of all starts have logged.
    std::string log() const;

    fake_upstream upstream;
    int slots = 12; ///< That the upstream announces.

private:
    int call_control(const std::string& method, const std::string& id, const std::string& body) const;

    std::string m_address;
    int m_number;
    std::string m_settings_path;
    std::string m_log_path;
    absl::Time m_upstream_start;
    pid_t m_process = -1;
    std::thread m_upstream_thread;
};

/// Writes a configuration to the store: the service `tienda` with the idempotent route `/reads/` and the route
/// `/orders/` that is not.
/// @param max_attempts upstreams to which a request may be sent; the version is higher by 10.
void put_test_configuration(platform_store& store, int max_attempts = 2);

} // namespace amaranthladder
