#pragma once

#include "peers/messages.h"
#include "peers/opaque_record.h"
#include "peers/peer_node.h"
#include "peers/peer_settings.h"
#include "peers/upstream_record.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthladder {

/// Functions of the daemon that peer_server calls, from its own threads and without holding a lock. They may call the
/// public functions of peer_server except stop().
struct peer_callbacks {
    /// Serves a pull. peer_server does not interpret the bytes.
    /// @return the delta from @p base to the current configuration, or the whole snapshot; empty if the current
    ///         configuration is not newer than @p base.
    std::function<std::string(const configuration_digest& base)> snapshot_bytes;

    /// Applies pulled bytes. Before the first ones, the opaque records of the same peer are merged, unless that fails;
    /// on_change may report them later. The daemon calls peer_server::set_configuration once the version is applied.
    std::function<pull_outcome(const std::string& bytes)> apply_snapshot;

    /// Called with changed members, upstream records and opaque records. May be empty.
    std::function<void(const node_output& changes)> on_change;

    /// Called when a task ended with an unexpected exception; the work goes on. May be empty.
    std::function<void(const std::string& task, const std::string& reason)> on_failure = {};
};

/// Numbers of bytes and messages sent and received, for the metrics endpoint.
struct traffic_counter {
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_messages = 0;
    std::uint64_t received_bytes = 0;
};

/// Counters of peer_server. Bytes are payload bytes, without IP, UDP and TCP headers.
struct peer_counters {
    std::array<traffic_counter, message_kind_count> datagrams; ///< By message_kind.
    traffic_counter pulls;                                     ///< Pull calls, as client and as server.
    traffic_counter repairs;                                   ///< Repair calls, as client and as server.
    drop_counters drops;
    std::uint64_t failed_pulls = 0;
    std::uint64_t failed_repairs = 0;
};

/// Connects a peer_node to the network: a UDP socket with one thread, and a Thrift server and clients over TCP, on the
/// same port, for pulls and repairs. All public functions may be called from any thread.
class peer_server {
public:
    /// @param settings the settings; port 0 selects a free port, see address().
    /// @param rules the rules of the opaque table.
    /// @param callbacks functions of the daemon.
    /// @throws error with result_code::listen_failed if a socket cannot be opened.
    peer_server(const peer_settings& settings, const opaque_rules& rules, const peer_callbacks& callbacks);
    ~peer_server();

    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Starts the threads.
    /// @throws error with result_code::listen_failed if the TCP port is taken.
    void start();

    /// Leaves the mesh, notifies peers and stops the threads. Has an effect only once. The destructor stops the threads
    /// without leaving the mesh.
    void stop();

    /// @return the bound address, with the selected port if the settings have port 0.
    endpoint address() const;

    upstream_record announce_upstream(const upstream_record& record);
    void withdraw_upstream(const std::string& id);
    bool put_opaque(const opaque_record& record);
    /// Sends records to some daemons only, see peer_node::send_reports().
    void send_reports(const std::vector<endpoint>& to, const std::vector<opaque_record>& records);
    void add_contacts(const std::vector<endpoint>& contacts);
    void set_configuration(const configuration_digest& current);
    void set_follows_store(bool follows);
    void set_store_followers(std::vector<endpoint> followers);

    std::vector<upstream_record> usable_upstreams(const std::string& service) const;
    bool is_own_upstream(const std::string& id) const;
    std::vector<upstream_record> upstreams() const;
    std::vector<opaque_record> opaque_records() const;
    std::vector<member> members() const;
    std::vector<member> members(member_state state) const;
    std::uint64_t newest_heard_version() const;
    /// @return the time since the last message from a daemon that follows the store on behalf of this one; infinite if
    ///         there was none.
    absl::Duration time_since_follower_contact() const;
    bool is_joined() const;
    peer_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
