#pragma once

#include "http/private/proxy_core.h"
#include "http/private/served_request.h"

#include <memory>
#include <optional>
#include <string>

namespace amaranthladder {

class owner_call;

/// One connection of a caller or of an entry daemon: reads requests one after the other and serves them.
class caller_session {
public:
    caller_session(proxy_core& core, asio::ip::tcp::socket socket);

    /// Serves the connection until it ends.
    asio::awaitable<void> run();

    /// Closes the connection if no request is being read or served on it.
    void close_if_idle();

    /// Closes the connection at once.
    void close();

private:
    asio::awaitable<bool> wait_for_request();
    asio::awaitable<bool> read_head();
    asio::awaitable<void> refuse_head(error_code failure);
    asio::awaitable<bool> serve_one();
    asio::awaitable<serve_result> serve_as_entry(served_request& request);
    asio::awaitable<serve_result> serve_as_owner(served_request& request);
    asio::awaitable<serve_result> answer_as_owner(served_request& request, owner_call& call);
    bool may_run_twice(const served_request& request) const;
    asio::awaitable<void> close_after_answer();
    std::string make_request_id();

    proxy_core& m_core;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    absl::Time m_received_at;
    bool m_is_idle = true;
};

} // namespace amaranthladder
