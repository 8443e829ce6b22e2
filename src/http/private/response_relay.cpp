#include "http/private/response_relay.h"

#include <utility>
#include <vector>

namespace amaranthladder {

namespace {

bool has_body(const response_parser& parser, const served_request& request) {
    const unsigned status = parser.get().result_int();
    return !request.is_head_only() && status != 204 && status != 304;
}

} // namespace

response_relay::response_relay(const proxy_options& options) : m_options(options) {}

asio::awaitable<relay_result> response_relay::relay(exchange& source, served_request& request,
                                                    const std::function<void(http::fields&)>& set_headers) const {
    const response_parser& parser = source.response();
    const bool ends_with_connection = parser.need_eof() && has_body(parser, request);
    http::response_header<> head(parser.get().base());
    remove_hop_by_hop_headers(head);
    set_headers(head);
    head.version(request.head.version());
    // HTTP/1.0 has no chunks: an answer without a length then ends with the connection.
    if (ends_with_connection || (request.head.version() < 11 && !parser.content_length())) {
        request.keeps_connection = false;
    }
    if (!has_body(parser, request)) {
        co_return co_await relay_head_only(source, request, std::move(head));
    }
    if (is_small(parser)) {
        co_return co_await relay_whole(source, request, std::move(head));
    }
    co_return co_await relay_stream(source, request, std::move(head));
}

asio::awaitable<relay_result> response_relay::relay_head_only(exchange& source, served_request& request,
                                                              http::response_header<> head) const {
    source.finish();
    http::response<http::empty_body> response(std::move(head));
    response.keep_alive(request.keeps_connection);
    request.stream.expires_after(absl::ToChronoNanoseconds(m_options.body_idle_timeout));
    const auto [failure, bytes] = co_await http::async_write(request.stream, response, as_result);
    co_return relay_result{failure ? result_code::caller_disconnected : result_code::ok, true};
}

asio::awaitable<relay_result> response_relay::relay_whole(exchange& source, served_request& request,
                                                          http::response_header<> head) const {
    http::response<http::string_body> response(std::move(head));
    std::string& body = response.body();
    body.resize(source.response().content_length().value_or(0));
    std::size_t used = 0;
    while (used < body.size()) {
        std::size_t size = 0;
        const error_code failure = co_await source.read_body(std::span(body).subspan(used), size);
        if (failure || size == 0) {
            source.abort();
            co_return relay_result{result_code::response_truncated, false};
        }
        used += size;
    }
    source.finish();
    response.content_length(body.size());
    response.keep_alive(request.keeps_connection);
    request.stream.expires_after(absl::ToChronoNanoseconds(m_options.body_idle_timeout));
    const auto [failure, bytes] = co_await http::async_write(request.stream, response, as_result);
    co_return relay_result{failure ? result_code::caller_disconnected : result_code::ok, true};
}

asio::awaitable<relay_result> response_relay::relay_stream(exchange& source, served_request& request,
                                                           http::response_header<> head) const {
    http::response<http::buffer_body> response(std::move(head));
    if (const auto length = source.response().content_length()) {
        response.content_length(*length);
    } else if (request.keeps_connection) {
        response.chunked(true);
    }
    response.keep_alive(request.keeps_connection);
    http::response_serializer<http::buffer_body> serializer(response);
    std::vector<char> chunk(stream_chunk_bytes);
    bool is_last = false;
    while (!is_last) {
        std::size_t size = 0;
        const error_code read_failure = co_await source.read_body(chunk, size);
        if (read_failure) {
            source.abort();
            reset_connection(request.stream);
            co_return relay_result{result_code::response_truncated, true};
        }
        is_last = size == 0;
        response.body() = {is_last ? nullptr : chunk.data(), size, !is_last};
        request.stream.expires_after(absl::ToChronoNanoseconds(m_options.body_idle_timeout));
        const auto [failure, bytes] = co_await http::async_write(request.stream, serializer, as_result);
        if (failure && failure != http::error::need_buffer) {
            source.abort();
            co_return relay_result{result_code::caller_disconnected, true};
        }
    }
    source.finish();
    co_return relay_result{result_code::ok, true};
}

bool response_relay::is_small(const response_parser& parser) const {
    const auto length = parser.content_length();
    return length && *length <= m_options.body_buffer_bytes;
}

} // namespace amaranthladder
