#include "http/private/response_relay.h"

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

bool has_body(const response_parser& parser, const served_request& request) {
    const unsigned status = parser.get().result_int();
    return !request.is_head_only() && status != 204 && status != 304;
}

/// Initial size of the buffer for a body. It grows with the bytes that arrive, since a declared length may never come.
constexpr std::size_t initial_buffer_bytes = std::size_t{4} * 1024;
/// A response may always buffer this many bytes.
constexpr std::size_t min_buffer_limit = std::size_t{16} * 1024;

/// Counts the bytes of one buffer in the total of all of them.
class buffer_share {
public:
    explicit buffer_share(std::size_t& total) : m_total(total) {}
    ~buffer_share() {
        m_total -= m_bytes;
    }
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    void set(std::size_t bytes) {
        m_total += bytes - m_bytes;
        m_bytes = bytes;
    }

private:
    std::size_t& m_total;
    std::size_t m_bytes = 0;
};

} // namespace

response_relay::response_relay(const proxy_options& options) : m_options(options) {}

asio::awaitable<relay_result> response_relay::relay(exchange& source, served_request& request, std::size_t buffer_limit,
                                                    const std::function<void(http::fields&)>& set_headers,
                                                    const std::function<void()>& on_received) const {
    const response_parser& parser = source.response();
    http::response_header<> head(parser.get().base());
    remove_hop_by_hop_headers(head);
    set_headers(head);
    head.version(request.head.version());
    if (!has_body(parser, request)) {
        source.finish();
        on_received();
        co_return co_await relay_head_only(request, std::move(head));
    }
    if (request.is_behind()) {
        buffer_limit = std::min(buffer_limit, m_options.ahead_buffer_bytes);
    }
    std::string body;
    buffer_share share(m_buffered_bytes);
    std::size_t used = 0;
    while (!parser.is_done() && used < buffer_limit) {
        if (body.size() == used) {
            if (used >= min_buffer_limit && m_buffered_bytes + used > m_options.response_buffer_total_bytes) {
                break;
            }
            body.resize(std::min(buffer_limit, std::max(2 * used, initial_buffer_bytes)));
            share.set(body.size());
        }
        std::size_t size = 0;
        if (co_await source.read_body(std::span(body).subspan(used), size)) {
            source.abort();
            co_return relay_result{result_code::response_truncated, false};
        }
        used += size;
    }
    body.resize(used);
    if (parser.is_done()) {
        source.finish();
        on_received();
        co_return co_await relay_whole(request, std::move(head), std::move(body));
    }
    co_return co_await relay_stream(source, request, std::move(head), std::move(body));
}

asio::awaitable<relay_result> response_relay::relay_head_only(served_request& request,
                                                              http::response_header<> head) const {
    if (request.is_behind()) {
        co_await request.turn->wait();
    }
    http::response<http::empty_body> response(std::move(head));
    response.keep_alive(request.decide_keep_alive());
    request.stream.expires_after(absl::ToChronoNanoseconds(m_options.body_idle_timeout));
    const auto [failure, bytes] = co_await http::async_write(request.stream, response, as_result);
    co_return relay_result{failure ? result_code::caller_disconnected : result_code::ok, true};
}

asio::awaitable<relay_result> response_relay::relay_whole(served_request& request, http::response_header<> head,
                                                          std::string body) const {
    if (request.is_behind()) {
        co_await request.turn->wait();
    }
    http::response<http::string_body> response(std::move(head), std::move(body));
    response.content_length(response.body().size());
    response.keep_alive(request.decide_keep_alive());
    request.stream.expires_after(absl::ToChronoNanoseconds(m_options.body_idle_timeout));
    const auto [failure, bytes] = co_await http::async_write(request.stream, response, as_result);
    co_return relay_result{failure ? result_code::caller_disconnected : result_code::ok, true};
}

asio::awaitable<relay_result> response_relay::relay_stream(exchange& source, served_request& request,
                                                           http::response_header<> head, std::string buffered) const {
    if (request.is_behind()) {
        co_await request.turn->wait();
    }
    // HTTP/1.0 has no chunked encoding, so the end of the connection marks the end of a response without a length.
    if (request.head.version() < 11 && !source.response().content_length()) {
        request.keeps_connection = false;
    }
    http::response<http::buffer_body> response(std::move(head));
    if (const auto length = source.response().content_length()) {
        response.content_length(*length);
    } else if (request.head.version() >= 11) {
        response.chunked(true);
    }
    response.keep_alive(request.decide_keep_alive());
    http::response_serializer<http::buffer_body> serializer(response);
    std::string chunk = std::move(buffered);
    std::size_t size = chunk.size();
    chunk.resize(std::max(stream_chunk_bytes, size));
    bool is_last = false;
    while (true) {
        response.body() = {is_last ? nullptr : chunk.data(), size, !is_last};
        const absl::Duration limit = is_last ? m_options.body_idle_timeout : source.body_write_limit();
        request.stream.expires_after(absl::ToChronoNanoseconds(std::max(limit, absl::ZeroDuration())));
        const auto [failure, bytes] = co_await http::async_write(request.stream, serializer, as_result);
        if (failure && failure != http::error::need_buffer) {
            source.abort();
            co_return relay_result{result_code::caller_disconnected, true};
        }
        if (is_last) {
            break;
        }
        if (co_await source.read_body(chunk, size)) {
            source.abort();
            reset_connection(request.stream);
            co_return relay_result{result_code::response_truncated, true};
        }
        is_last = size == 0;
    }
    source.finish();
    co_return relay_result{result_code::ok, true};
}

} // namespace amaranthladder
