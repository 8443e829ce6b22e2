#pragma once

#include "common/asio_types.h"
#include "common/result_code.h"
#include "common/steady_clock.h"
#include "http/private/body_time_limit.h"
#include "http/private/connection_pool.h"
#include "http/private/request_body.h"
#include "http/proxy_options.h"

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <span>

namespace amaranthladder {

/// Result of a step of an exchange up to the response's header.
struct exchange_status {
    result_code code = result_code::ok;
    /// Whether the request may have run; valid if `code` is not ok.
    execution request_execution = execution::not_run;
};

/// One request and its response over one connection, to an upstream or to another daemon.
///
/// The connection returns to the pool only after the response has been read completely and if both sides keep it open.
/// Otherwise it is closed, so that a late response cannot be taken for the response to another request.
class exchange {
public:
    /// Request to send, with its time limits.
    struct request {
        endpoint target;
        const http::request_header<>& head;
        request_body& body;
        bool is_idempotent = false;
        /// The body is sent only after the target has responded with 100 (Continue).
        bool waits_for_continue = false;
        absl::Time deadline;
        absl::Duration first_byte_timeout;
        /// The same on a pooled connection that has been idle, which may have gone silent meanwhile.
        absl::Duration idle_connection_timeout = absl::InfiniteDuration();
    };

    exchange(connection_pool& pool, const proxy_options& options, const steady_clock& clock);

    /// Connects or reuses a pooled connection, sends the request and reads the response's header.
    asio::awaitable<exchange_status> start(const request& outgoing);

    /// Connects or reuses a pooled connection. Optional, since start() does it if needed.
    /// @param may_use_idle true if a connection that has been idle for longer, and may have gone silent, can be used.
    asio::awaitable<exchange_status> connect(const endpoint& target, bool may_use_idle, absl::Time deadline);

    /// Discards the response that start() or read_next_response() returned and reads the header of the one after it on
    /// the same connection: an upstream may have answered an earlier request twice.
    /// @return ok, or why no further response can be read.
    asio::awaitable<exchange_status> read_next_response(const request& outgoing);

    /// @return true if start() ended with the timeout of a connection that had been idle, so that the same target may
    ///         well answer on another connection.
    bool has_idle_connection_timed_out() const {
        return m_has_idle_connection_timed_out;
    }

    /// @return true if the connection has carried other requests before this one.
    bool is_connection_reused() const {
        return m_is_connection_reused;
    }

    /// Closes the connection, so that start() can be called again.
    void reset();

    /// @return true if bytes of the request may have been sent.
    bool may_have_sent() const {
        return m_may_have_sent;
    }

    /// @return the parser of the response, once start() has returned ok.
    response_parser& response() {
        return *m_response;
    }

    /// @return how long the caller may take to accept the next bytes of the body before the response is given up.
    absl::Duration body_write_limit() const;

    /// Reads more of the response's body.
    /// @param chunk buffer for the bytes.
    /// @param size set to the number of bytes read; after a success it is 0 only at the end of the body.
    asio::awaitable<error_code> read_body(std::span<char> chunk, std::size_t& size);

    /// Reads and discards the rest of a response. The connection is kept if the body ends within @p limit bytes.
    asio::awaitable<void> discard(std::size_t limit);

    /// Returns the connection to the pool if it can be reused, otherwise closes it.
    void finish();

    /// Closes the connection immediately; pending operations fail.
    void abort();

private:
    asio::awaitable<exchange_status> send(const request& outgoing);
    asio::awaitable<exchange_status> send_whole(const request& outgoing);
    asio::awaitable<exchange_status> send_streamed(const request& outgoing);
    asio::awaitable<exchange_status> receive_header(const request& outgoing, bool accepts_continue);
    exchange_status classify_failure(error_code failure, std::size_t bytes_sent) const;
    void set_expiry(absl::Duration limit, absl::Time deadline);

    connection_pool& m_pool;
    const proxy_options& m_options;
    const steady_clock& m_clock;
    std::unique_ptr<pooled_connection> m_connection;
    std::optional<response_parser> m_response;
    std::optional<body_time_limit> m_body_limit; ///< Set once the header of a response has been read.
    absl::Time m_sent_at;
    absl::Duration m_idle_before_send; ///< Time for which the connection had been idle in the pool.
    bool m_is_connection_reused = false;
    bool m_has_idle_connection_timed_out = false;
    bool m_has_received_continue = false;
    bool m_is_request_sent = false;
    bool m_may_have_sent = false;
};

} // namespace amaranthladder
