#pragma once

#include "http/private/proxy_core.h"
#include "http/private/served_request.h"

#include <memory>
#include <optional>
#include <string>

namespace amaranthladder {

class owner_call;

/// Whose requests a connection carries.
enum class session_role {
    any,     ///< Callers' and daemons': a request that names an upstream comes from another daemon.
    callers, ///< Headers between daemons are not believed.
    daemons, ///< Every request names an upstream beside this daemon.
};

/// One connection of a caller or of an entry daemon: reads requests one after the other and serves them.
class caller_session {
public:
    caller_session(proxy_core& core, asio::ip::tcp::socket socket, session_role role);

    /// Serves the connection until it ends.
    asio::awaitable<void> run();

    /// @return true if no request is being read or served.
    bool is_idle() const {
        return m_is_idle;
    }

    /// Closes the connection if no request is being read or served on it.
    void close_if_idle();

    /// Closes the connection at once.
    void close();

private:
    asio::awaitable<bool> wait_for_request();
    asio::awaitable<bool> read_head();
    asio::awaitable<void> refuse_head(error_code failure);
    asio::awaitable<bool> serve_one();
    forwarding_info read_info(const http::request_header<>& head) const;
    asio::awaitable<serve_result> serve_as_entry(served_request& request);
    asio::awaitable<serve_result> serve_as_owner(served_request& request);
    asio::awaitable<serve_result> answer_as_owner(served_request& request, owner_call& call);
    asio::awaitable<void> close_after_answer();
    std::string make_request_id();

    proxy_core& m_core;
    session_role m_role;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    absl::Time m_received_at;
    bool m_is_idle = true;
};

} // namespace amaranthladder
