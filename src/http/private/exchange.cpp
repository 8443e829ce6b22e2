#include "http/private/exchange.h"

#include "common/tcp_keepalive.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace amaranthladder {

namespace {

bool is_timeout(error_code failure) {
    return failure == beast::error::timeout;
}

constexpr std::size_t discard_chunk_bytes = std::size_t{16} * 1024;
/// Discarding a longer response takes more time than a new connection.
constexpr std::size_t max_discarded_bytes = std::size_t{256} * 1024;
/// A pooled connection may go silent without a reset. One that was in use within this time has just worked.
constexpr absl::Duration max_trusted_idle_time = absl::Seconds(1);

} // namespace

exchange::exchange(connection_pool& pool, const proxy_options& options, const steady_clock& clock)
    : m_pool(pool), m_options(options), m_clock(clock) {}

asio::awaitable<exchange_status> exchange::connect(const endpoint& target, bool may_use_idle, absl::Time deadline) {
    m_connection = m_pool.take(target, may_use_idle, m_clock.now());
    m_is_connection_reused = m_connection != nullptr;
    if (m_connection) {
        m_idle_before_send = m_clock.now() - m_connection->last_received_at;
        co_return exchange_status{};
    }
    m_idle_before_send = absl::ZeroDuration();
    error_code failure;
    const auto address = asio::ip::make_address(target.address, failure);
    if (failure) {
        co_return exchange_status{result_code::connect_failed, execution::not_run};
    }
    m_connection = m_pool.create(target);
    set_expiry(m_options.connect_timeout, deadline);
    const auto [connect_failure] =
        co_await m_connection->stream.async_connect(asio::ip::tcp::endpoint(address, target.port), as_result);
    if (connect_failure) {
        m_connection.reset();
        co_return exchange_status{result_code::connect_failed, execution::not_run};
    }
    m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    enable_tcp_keepalive(m_connection->stream.socket().native_handle());
    // The addresses of the sockets do not tell: hosts of a test share a kernel.
    if (target.address != m_options.listen_address.address && target.address != m_options.owner_address.address) {
        m_pool.count_link_bytes(*m_connection);
    }
    m_connection->opened_at = m_clock.now();
    m_connection->last_received_at = m_connection->opened_at;
    co_return exchange_status{};
}

asio::awaitable<exchange_status> exchange::start(const request& outgoing) {
    if (!m_connection) {
        const exchange_status connected = co_await connect(outgoing.target, outgoing.is_idempotent, outgoing.deadline);
        if (connected.code != result_code::ok) {
            co_return connected;
        }
    }
    m_sent_at = m_clock.now();
    m_may_have_sent = true;
    const exchange_status sending = co_await send(outgoing);
    m_may_have_sent = sending.code == result_code::ok || sending.request_execution != execution::not_run;
    if (sending.code != result_code::ok || (m_response && m_response->is_header_done())) {
        co_return sending;
    }
    m_is_request_sent = true;
    co_return co_await receive_header(outgoing, false);
}

asio::awaitable<exchange_status> exchange::send(const request& outgoing) {
    if (outgoing.body.is_whole() && !outgoing.waits_for_continue) {
        return send_whole(outgoing);
    }
    return send_streamed(outgoing);
}

asio::awaitable<exchange_status> exchange::send_whole(const request& outgoing) {
    http::request<http::string_body> message(outgoing.head, outgoing.body.prefix());
    if (!outgoing.body.prefix().empty() || message.has_content_length()) {
        message.content_length(outgoing.body.prefix().size());
    }
    set_expiry(m_options.body_idle_timeout, outgoing.deadline);
    const auto [failure, bytes] = co_await http::async_write(m_connection->stream, message, as_result);
    co_return failure ? classify_failure(failure, bytes) : exchange_status{};
}

asio::awaitable<exchange_status> exchange::send_streamed(const request& outgoing) {
    http::request<http::buffer_body> message(outgoing.head);
    if (outgoing.body.is_whole()) {
        message.content_length(outgoing.body.prefix().size());
    } else if (!message.has_content_length()) {
        message.chunked(true);
    }
    if (outgoing.waits_for_continue) {
        message.set(http::field::expect, "100-continue");
    }
    http::request_serializer<http::buffer_body> serializer(message);
    set_expiry(m_options.body_idle_timeout, outgoing.deadline);
    const auto [failure, bytes] = co_await http::async_write_header(m_connection->stream, serializer, as_result);
    if (failure) {
        co_return classify_failure(failure, bytes);
    }
    if (outgoing.waits_for_continue) {
        const exchange_status answered = co_await receive_header(outgoing, true);
        if (!m_has_received_continue) {
            // Without its body the request cannot run, unless the target has answered it all the same.
            co_return exchange_status{answered.code, answered.code == result_code::ok ? answered.request_execution
                                                                                      : execution::not_run};
        }
    }
    std::vector<char> chunk(outgoing.body.prefix().begin(), outgoing.body.prefix().end());
    std::size_t size = chunk.size();
    chunk.resize(std::max(stream_chunk_bytes, size));
    bool is_last = false;
    while (!is_last) {
        is_last = size == 0;
        message.body().data = is_last ? nullptr : chunk.data();
        message.body().size = size;
        message.body().more = !is_last;
        set_expiry(m_options.body_idle_timeout, outgoing.deadline);
        auto [write_failure, written] = co_await http::async_write(m_connection->stream, serializer, as_result);
        if (write_failure && write_failure != http::error::need_buffer) {
            co_return classify_failure(write_failure, bytes);
        }
        if (is_last) {
            break;
        }
        if (outgoing.body.is_whole()) {
            size = 0;
            continue;
        }
        const absl::Duration left = outgoing.deadline - m_clock.now();
        if (const error_code read_failure = co_await outgoing.body.read_more(chunk, size, left)) {
            co_return exchange_status{is_timeout(read_failure) && m_clock.now() >= outgoing.deadline
                                          ? result_code::response_timeout
                                          : result_code::caller_disconnected,
                                      execution::may_have_run};
        }
    }
    co_return exchange_status{};
}

asio::awaitable<exchange_status> exchange::receive_header(const request& outgoing, bool accepts_continue) {
    const bool may_be_silent =
        m_idle_before_send > max_trusted_idle_time && outgoing.idle_connection_timeout < outgoing.first_byte_timeout;
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        m_body_limit.reset();
        m_response.emplace();
        m_response->header_limit(static_cast<std::uint32_t>(m_options.max_header_bytes));
        m_response->body_limit(boost::none);
        if (outgoing.head.method() == http::verb::head) {
            m_response->skip(true);
        }
        set_expiry(may_be_silent ? outgoing.idle_connection_timeout : outgoing.first_byte_timeout, outgoing.deadline);
        const auto [failure, bytes] =
            co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_response, as_result);
        if (failure) {
            exchange_status failed = classify_failure(failure, std::numeric_limits<std::size_t>::max());
            if (failed.code == result_code::response_timeout && m_clock.now() < outgoing.deadline) {
                // The connection may be dead, and so may others that were open when the request was sent.
                m_pool.retire(*m_connection, m_sent_at);
                m_has_idle_connection_timed_out = may_be_silent;
            }
            if (failed.code == result_code::response_malformed) {
                m_pool.suspend_reuse(m_connection->target, m_clock.now());
            }
            co_return failed;
        }
        const unsigned status = m_response->get().result_int();
        if (status == static_cast<unsigned>(http::status::continue_) && accepts_continue) {
            m_has_received_continue = true;
            m_response.reset();
            co_return exchange_status{};
        }
        if (status >= min_final_status) {
            m_body_limit.emplace(outgoing.deadline, m_response->content_length().has_value(),
                                 m_options.body_idle_timeout);
            co_return exchange_status{};
        }
    }
    m_pool.suspend_reuse(m_connection->target, m_clock.now());
    co_return exchange_status{result_code::response_malformed, execution::may_have_run};
}

asio::awaitable<exchange_status> exchange::read_next_response(const request& outgoing) {
    m_pool.suspend_reuse(m_connection->target, m_clock.now());
    std::string discarded(discard_chunk_bytes, '\0');
    std::size_t total = 0;
    while (!m_response->is_done()) {
        std::size_t size = 0;
        const error_code failure = co_await read_body(discarded, size);
        total += size;
        if (failure || total > max_discarded_bytes) {
            co_return exchange_status{result_code::response_mismatched, execution::may_have_run};
        }
    }
    if (!m_response->keep_alive()) {
        co_return exchange_status{result_code::response_mismatched, execution::may_have_run};
    }
    co_return co_await receive_header(outgoing, false);
}

asio::awaitable<error_code> exchange::read_body(std::span<char> chunk, std::size_t& size) {
    size = 0;
    error_code failure;
    while (!failure && !m_response->is_done() && size == 0) {
        auto& body = m_response->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        body.more = true;
        const absl::Time started_at = m_clock.now();
        const absl::Duration wait = m_body_limit->next_wait(started_at);
        if (wait <= absl::ZeroDuration()) {
            co_return beast::error::timeout;
        }
        m_connection->stream.expires_after(absl::ToChronoNanoseconds(wait));
        auto [read_failure, bytes] =
            co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_response, as_result);
        size = chunk.size() - body.size;
        m_body_limit->on_read(started_at, m_clock.now(), bytes);
        if (read_failure != http::error::need_buffer) {
            failure = read_failure;
        }
    }
    co_return failure;
}

asio::awaitable<void> exchange::discard(std::size_t limit) {
    std::string body(limit, '\0');
    std::size_t size = 1;
    std::size_t used = 0;
    error_code failure;
    while (!failure && size > 0 && used < limit) {
        failure = co_await read_body(std::span(body).subspan(used), size);
        used += size;
    }
    finish();
}

absl::Duration exchange::body_write_limit() const {
    const bool has_length = m_response->content_length().has_value();
    return has_length ? m_options.body_idle_timeout : m_body_limit->next_wait(m_clock.now());
}

void exchange::reset() {
    abort();
    m_connection.reset();
    m_response.reset();
    m_body_limit.reset();
    m_is_request_sent = false;
    m_has_idle_connection_timed_out = false;
}

void exchange::finish() {
    if (!m_connection || !m_response || !m_is_request_sent || !m_response->is_done() || !m_response->keep_alive()) {
        abort();
        return;
    }
    m_pool.put(std::move(m_connection), m_clock.now());
}

void exchange::abort() {
    if (m_connection) {
        m_connection->stream.close();
    }
}

exchange_status exchange::classify_failure(error_code failure, std::size_t bytes_sent) const {
    if (bytes_sent == 0) {
        return {result_code::connection_lost, execution::not_run};
    }
    if (is_timeout(failure)) {
        return {result_code::response_timeout, execution::may_have_run};
    }
    if (is_malformed(failure)) {
        return {result_code::response_malformed, execution::may_have_run};
    }
    return {result_code::connection_lost, execution::may_have_run};
}

void exchange::set_expiry(absl::Duration limit, absl::Time deadline) {
    const absl::Duration left = std::max(absl::ZeroDuration(), std::min(limit, deadline - m_clock.now()));
    m_connection->stream.expires_after(absl::ToChronoNanoseconds(left));
}

} // namespace amaranthladder
