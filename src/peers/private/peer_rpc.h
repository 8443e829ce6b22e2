#pragma once

#include "peers/messages.h"
#include "peers/peer_settings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace amaranthladder {

/// Kinds of calls between daemons, counted separately.
enum class rpc_kind { pull, repair };

/// Called with the bytes of each call, including frame headers.
using rpc_traffic_callback = std::function<void(rpc_kind kind, std::size_t sent, std::size_t received)>;

/// Functions that answer the calls of peers. Called from several threads concurrently.
struct rpc_handlers {
    std::function<std::string(const configuration_digest& base)> pull;
    std::function<repair_difference(const repair_offer& offered)> compare;
    std::function<repair_records(const repair_exchange& request)> exchange;
};

/// Thrift server for the calls of peers, with a bounded number of threads.
class rpc_server {
public:
    /// Opens the port; calls are served after start().
    /// @param settings address, mesh, threads and timeouts.
    /// @throws error with result_code::listen_failed.
    rpc_server(const peer_settings& settings, rpc_handlers handlers, rpc_traffic_callback traffic);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// Starts the threads.
    /// @throws error with result_code::listen_failed.
    void start();

    /// Ends open calls and stops the threads.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Connection to one peer. Every call throws error with result_code::peer_unreachable if it fails and
/// result_code::message_malformed if the response is invalid.
class rpc_client {
public:
    rpc_client(const peer_settings& settings, const endpoint& peer, rpc_kind kind, rpc_traffic_callback traffic);
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    std::string pull(const configuration_digest& base);
    repair_difference compare(const repair_offer& offered);
    repair_records exchange(const repair_exchange& request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
