#include "http/private/inbound_session.h"

#include "common/error.h"
#include "http/private/disconnect_watch.h"
#include "http/private/entry_call.h"
#include "http/private/owner_call.h"

#include <absl/cleanup/cleanup.h>
#include <absl/random/distributions.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

constexpr std::size_t first_read_bytes = std::size_t{8} * 1024;
/// Above the depth of the longest call chains; stops requests that loop between upstreams and daemons.
constexpr int max_hops = 64;
/// Limit for the rest of a request body that is read and discarded before a connection is closed.
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
constexpr auto discard_timeout = std::chrono::seconds(2);

bool expects_continue(const http::request_header<>& head) {
    return beast::iequals(head[http::field::expect], "100-continue");
}

} // namespace

inbound_session::inbound_session(proxy_state& proxy, asio::ip::tcp::socket socket, peer_type peer)
    : m_proxy(proxy), m_peer_type(peer), m_stream(std::move(socket)),
      m_buffer(proxy.options.max_header_bytes + proxy.options.body_buffer_bytes) {}

asio::awaitable<void> inbound_session::run() {
    bool is_open = true;
    while (is_open) {
        m_is_idle = true;
        if (!(co_await wait_for_request())) {
            break;
        }
        m_is_idle = false;
        m_received_at = m_proxy.clock.now();
        if (!(co_await read_header())) {
            break;
        }
        is_open = co_await serve_request();
    }
    m_stream.close();
}

void inbound_session::close_if_idle() {
    error_code ignored;
    if (m_is_idle && m_stream.socket().available(ignored) == 0) {
        // A read that has completed but is not handled yet is unaffected by cancel(), so its request is answered.
        // After close() the request would be forwarded and its response lost.
        m_stream.cancel();
    }
}

void inbound_session::close() {
    m_stream.close();
}

asio::awaitable<bool> inbound_session::wait_for_request() {
    if (m_buffer.size() > 0) {
        co_return true;
    }
    const caller_limits* limits = m_peer_type == peer_type::daemon ? nullptr : m_proxy.find_caller_limits();
    const absl::Duration idle = limits == nullptr ? absl::ZeroDuration() : limits->idle_timeout;
    m_stream.expires_after(absl::ToChronoNanoseconds(std::max(idle, m_proxy.options.keep_alive_timeout)));
    const auto [failure, size] = co_await m_stream.async_read_some(m_buffer.prepare(first_read_bytes), as_result);
    m_buffer.commit(size);
    co_return !failure;
}

asio::awaitable<bool> inbound_session::read_header() {
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_proxy.options.max_header_bytes));
    m_parser->body_limit(boost::none);
    m_stream.expires_after(absl::ToChronoNanoseconds(m_proxy.options.header_timeout));
    const auto [failure, size] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, as_result);
    if (failure) {
        co_await refuse_header(failure);
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> inbound_session::refuse_header(error_code failure) {
    ++m_proxy.counters.malformed_requests;
    if (failure == http::error::end_of_stream || failure == http::error::partial_message) {
        co_return;
    }
    const http::request_header<> no_header;
    request_body no_body(m_stream, m_buffer, *m_parser, 0, m_proxy.options.body_idle_timeout);
    served_request request{m_stream, no_header, no_body, {}, m_received_at, false, false};
    const bool is_too_large = failure == http::error::header_limit || failure == http::error::buffer_overflow;
    std::string detail = failure.message();
    m_proxy.log.warning(fmt::format("malformed-request reason=\"{}\"", detail));
    co_await write_refusal(request, is_too_large ? result_code::headers_too_large : result_code::request_malformed,
                           execution::not_run, std::move(detail));
    co_await close_after_response();
}

asio::awaitable<bool> inbound_session::serve_request() {
    ++m_proxy.counters.requests_in_flight;
    const absl::Cleanup ended = [this] { --m_proxy.counters.requests_in_flight; };
    const http::request_header<>& head = m_parser->get();
    request_body body(m_stream, m_buffer, *m_parser, m_proxy.options.body_buffer_bytes,
                      m_proxy.options.body_idle_timeout);
    served_request request{m_stream, head, body, {}, m_received_at, false, m_parser->keep_alive()};
    request.expects_continue = expects_continue(head);
    std::string problem;
    try {
        request.info = read_forwarding_info(head);
    } catch (const error& failure) {
        problem = failure.what();
    }
    serve_result result;
    if (!problem.empty()) {
        request.keeps_connection = false;
        result = co_await write_refusal(request, result_code::request_malformed, execution::not_run, problem);
    } else if (request.info.is_from_entry()) {
        result = co_await serve_as_owner(request);
    } else {
        result = co_await serve_as_entry(request);
    }
    if (!request.keeps_connection || !body.is_at_end()) {
        co_await close_after_response();
        co_return false;
    }
    co_return m_stream.socket().is_open();
}

forwarding_info inbound_session::read_forwarding_info(const http::request_header<>& head) const {
    const bool names_upstream = !field_value(head, header::upstream).empty();
    if (m_peer_type == peer_type::daemon && !names_upstream) {
        throw error(result_code::request_malformed, "the request does not name an upstream");
    }
    return names_upstream && m_peer_type != peer_type::caller ? read_forwarding_headers(head)
                                                              : read_caller_headers(head, m_proxy.options.headers);
}

asio::awaitable<serve_result> inbound_session::serve_as_entry(served_request& request) {
    if (request.info.request_id.empty()) {
        request.info.request_id = make_request_id();
    }
    request.keeps_connection = request.keeps_connection && !m_proxy.is_draining;
    if (++request.info.hop > max_hops) {
        request.keeps_connection = false;
        co_return co_await write_refusal(request, result_code::too_many_hops, execution::not_run, "");
    }
    if (request.expects_continue && !(co_await write_continue(request, m_proxy.options.body_idle_timeout))) {
        request.keeps_connection = false;
        co_return serve_result{result_code::caller_disconnected, 0};
    }
    if (const error_code failure = co_await request.body.read_prefix()) {
        request.keeps_connection = false;
        co_return co_await write_refusal(request, result_code::request_malformed, execution::not_run,
                                         failure.message());
    }
    entry_call call(m_proxy, request);
    if (!request.body.is_whole()) {
        // The body is still being read, and that read detects a disconnect.
        co_return co_await call.serve();
    }
    const disconnect_watch watch(m_stream, [&call] { call.cancel(); });
    co_return co_await call.serve();
}

asio::awaitable<serve_result> inbound_session::serve_as_owner(served_request& request) {
    ++m_proxy.counters.owner_requests;
    if (request.info.mesh != m_proxy.options.mesh) {
        request.keeps_connection = false;
        co_return co_await write_refusal(request, result_code::request_malformed, execution::not_run,
                                         "the request belongs to another mesh");
    }
    if (!request.expects_continue) {
        if (const error_code failure = co_await request.body.read_prefix()) {
            request.keeps_connection = false;
            co_return serve_result{result_code::caller_disconnected, 0};
        }
    }
    // Must follow the read of the body: the upstream may be removed while this coroutine is suspended.
    const local_upstream* upstream = m_proxy.find_local_upstream(request.info.upstream);
    if (upstream == nullptr || upstream->is_version_refused) {
        // After this refusal an entry that has not yet learned of the rollback retries at another upstream.
        request.keeps_connection = request.keeps_connection && request.body.is_at_end();
        co_return co_await write_refusal(request, result_code::no_upstream, execution::not_run, request.info.upstream);
    }
    const absl::Time deadline = m_received_at + request.info.time_left.value_or(m_proxy.options.default_timeout);
    owner_call call(m_proxy, *upstream, request, request.info.route, request.info.is_idempotent, deadline);
    std::optional<disconnect_watch> watch;
    if (request.body.is_whole()) {
        watch.emplace(m_stream, [&call] { call.cancel(); });
    }
    co_return co_await respond_as_owner(request, call);
}

asio::awaitable<serve_result> inbound_session::respond_as_owner(served_request& request, owner_call& call) {
    const exchange_status started = co_await call.start();
    relay_result relayed{started.code, false};
    execution request_execution = started.request_execution;
    if (started.code == result_code::ok) {
        relayed = co_await call.relay_response();
        request_execution = execution::may_have_run;
    }
    if (relayed.code != result_code::ok) {
        request.keeps_connection = request.keeps_connection && request.body.is_at_end() && !relayed.has_begun;
    }
    if (relayed.code == result_code::ok || relayed.has_begun || relayed.code == result_code::caller_disconnected) {
        co_return serve_result{relayed.code, 0};
    }
    request.may_have_reached_upstream = call.may_have_reached_upstream();
    request.backlog = call.backlog();
    request.report = call.report();
    co_return co_await write_refusal(request, relayed.code, request_execution, request.info.upstream);
}

asio::awaitable<void> inbound_session::close_after_response() {
    // Closing a socket with unread data resets the connection, and the peer may lose the response just sent.
    error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::size_t discarded = 0;
    m_stream.expires_after(discard_timeout);
    while (discarded < max_discarded_bytes) {
        m_buffer.clear();
        const auto [failure, size] = co_await m_stream.async_read_some(m_buffer.prepare(first_read_bytes), as_result);
        if (failure) {
            break;
        }
        discarded += size;
    }
}

std::string inbound_session::make_request_id() {
    return fmt::format("{}-{:016x}", m_proxy.options.worker, absl::Uniform<std::uint64_t>(m_proxy.random));
}

} // namespace amaranthladder
