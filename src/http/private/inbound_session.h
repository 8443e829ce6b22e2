#pragma once

#include "http/private/proxy_state.h"
#include "http/private/served_request.h"

#include <memory>
#include <optional>
#include <string>

namespace amaranthladder {

class owner_call;

/// Senders from which a connection accepts requests.
enum class peer_type {
    any,    ///< Callers and daemons; a request that names an upstream comes from another daemon.
    caller, ///< Callers only; headers that daemons exchange are not trusted.
    daemon, ///< Daemons only; every request must name an upstream.
};

/// Serves the requests on one connection of a caller or of an entry daemon, one after the other.
class inbound_session {
public:
    inbound_session(proxy_state& proxy, asio::ip::tcp::socket socket, peer_type peer);

    /// Serves requests until the connection is closed.
    asio::awaitable<void> run();

    /// @return true if the session waits for the first byte of a request.
    bool is_idle() const {
        return m_is_idle;
    }

    /// Closes the connection if the session is idle and no unread data has arrived.
    void close_if_idle();

    /// Closes the connection immediately.
    void close();

private:
    asio::awaitable<bool> wait_for_request();
    asio::awaitable<bool> read_header();
    asio::awaitable<void> refuse_header(error_code failure);
    asio::awaitable<bool> serve_request();
    forwarding_info read_forwarding_info(const http::request_header<>& head) const;
    asio::awaitable<serve_result> serve_as_entry(served_request& request);
    asio::awaitable<serve_result> serve_as_owner(served_request& request);
    asio::awaitable<serve_result> respond_as_owner(served_request& request, owner_call& call);
    asio::awaitable<void> close_after_response();
    std::string make_request_id();

    proxy_state& m_proxy;
    peer_type m_peer_type;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    absl::Time m_received_at;
    bool m_is_idle = true;
};

} // namespace amaranthladder
