#pragma once

#include "http/private/one_shot_event.h"
#include "http/private/proxy_state.h"
#include "http/private/request_pipeline.h"
#include "http/private/served_request.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

class disconnect_watch;
class owner_call;

/// Senders from which a connection accepts requests.
enum class peer_type {
    any,    ///< Callers and daemons; a request that names an upstream comes from another daemon.
    caller, ///< Callers only; headers that daemons exchange are not trusted.
    daemon, ///< Daemons only; every request must name an upstream.
};

/// Serves the requests on one connection of a caller or of an entry daemon.
///
/// Requests are served one after the other, except those that a caller sends before the response to an earlier one:
/// they are read ahead, and those that may be repeated are served side by side (request_pipeline).
class inbound_session {
public:
    inbound_session(proxy_state& proxy, asio::ip::tcp::socket socket, peer_type peer);

    /// Serves requests until the connection is closed.
    asio::awaitable<void> run();

    /// @return true if the session waits for the first byte of a request.
    bool is_idle() const {
        return m_is_idle;
    }

    /// @return true if a request has been read and not yet answered.
    bool is_serving() const {
        return !m_pipeline.is_empty();
    }

    /// Closes the connection if the session is idle and no unread data has arrived.
    void close_if_idle();

    /// Closes the connection immediately.
    void close();

private:
    /// A request that has been read, at least in part.
    struct pending_request {
        pending_request(const asio::any_io_executor& executor, absl::Time received)
            : received_at(received), turn(executor), ended(executor) {}

        request_parser parser;
        absl::Time received_at; ///< Arrival of the first byte.
        std::optional<request_body> body;
        std::optional<served_request> request;
        std::string problem;          ///< Why the forwarding headers cannot be read; empty if they can.
        one_shot_event turn;          ///< The responses to all earlier requests have been sent.
        one_shot_event ended;         ///< The request has been served.
        std::function<void()> cancel; ///< Stops the work on the request; null if there is none.
        bool is_cancelled = false;    ///< The caller has left.
    };
    using request_pointer = std::shared_ptr<pending_request>;

    asio::awaitable<request_pointer> next_request();
    asio::awaitable<bool> wait_for_request();
    request_pointer make_pending_request();
    asio::awaitable<error_code> read_header(pending_request& reading);
    asio::awaitable<void> refuse_header(error_code failure);
    void prepare(pending_request& next);
    asio::awaitable<bool> serve_front(const request_pointer& next);
    asio::awaitable<void> serve_request(const request_pointer& next);
    /// Serves a request; an exception ends its connection. The parameter keeps the request alive.
    asio::awaitable<void> serve_logged(request_pointer next);
    forwarding_info read_forwarding_info(const http::request_header<>& head) const;
    /// Subtracts from a request's times left what its way from the entry took beyond the usual.
    void deduct_transit_delay(served_request& request);
    absl::Duration time_left(const served_request& request) const;
    asio::awaitable<serve_result> serve_as_entry(pending_request& next);
    asio::awaitable<serve_result> serve_as_owner(pending_request& next);
    /// Asks an entry for the body of a request, once the host's link and memory can take it.
    /// @param permit set if the body has been asked for.
    /// @return nothing, or the result if the request has been refused or its sender has left.
    asio::awaitable<std::optional<serve_result>> receive_requested_body(served_request& request,
                                                                        std::optional<body_permit>& permit);
    body_offer make_body_offer(const served_request& request, const local_upstream& upstream) const;
    asio::awaitable<serve_result> respond_as_owner(served_request& request, owner_call& call);
    bool may_read_ahead();
    void start_reading_ahead();
    /// @return a watch on the connection; null while read_ahead() reads from it, since that detects a disconnect.
    std::unique_ptr<disconnect_watch> watch_for_disconnect();
    asio::awaitable<void> read_ahead();
    asio::awaitable<void> read_ahead_until_stopped();
    asio::awaitable<void> stop_reading_ahead();
    void add_read_request(const request_pointer& read);
    void start_behind();
    bool must_close_after_response() const;
    bool is_repeatable(const pending_request& next) const;
    void pop_front();
    void cancel_all();
    void disconnect();
    asio::awaitable<void> end_pipeline();
    asio::awaitable<void> close_after_response();
    std::string make_request_id();

    proxy_state& m_proxy;
    peer_type m_peer_type;
    metered_stream m_stream;
    beast::flat_buffer m_buffer;
    request_pipeline<request_pointer> m_pipeline;
    std::vector<request_pointer> m_cancelled;   ///< Started and then removed from the pipeline; they may still run.
    request_pointer m_reading;                  ///< Request whose header is being read.
    std::shared_ptr<one_shot_event> m_read_end; ///< Set when read_ahead() ends; null if it does not run.
    bool m_is_read_stopping = false;            ///< read_ahead() must end.
    error_code m_read_failure;                  ///< Why nothing more can be read; found by read_ahead().
    bool m_is_idle = true;
};

} // namespace amaranthladder
