#include "http/private/response_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace amaranthladder {

namespace {

bool has_body(const response_parser& parser, const served_request& request) {
    const unsigned status = parser.get().result_int();
    return !request.is_head_only() && status != 204 && status != 304;
}

/// @return the initial size of the buffer for the body.
std::size_t initial_buffer_size(const response_parser& parser) {
    constexpr std::size_t min_bytes = std::size_t{4} * 1024;
    return std::max<std::size_t>(min_bytes, parser.content_length().value_or(0));
}

} // namespace

response_relay::response_relay(const proxy_options& options) : m_options(options) {}

asio::awaitable<relay_result> response_relay::relay(exchange& source, served_request& request, std::size_t buffer_limit,
                                                    const std::function<void(http::fields&)>& set_headers) const {
    const response_parser& parser = source.response();
    http::response_header<> head(parser.get().base());
    remove_hop_by_hop_headers(head);
    set_headers(head);
    head.version(request.head.version());
    if (!has_body(parser, request)) {
        co_return co_await relay_head_only(source, request, std::move(head));
    }
    std::string body;
    std::size_t used = 0;
    while (!parser.is_done() && used < buffer_limit) {
        if (body.size() == used) {
            body.resize(std::min(buffer_limit, std::max(2 * used, initial_buffer_size(parser))));
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
        co_return co_await relay_whole(source, request, std::move(head), std::move(body));
    }
    co_return co_await relay_stream(source, request, std::move(head), std::move(body));
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
                                                          http::response_header<> head, std::string body) const {
    source.finish();
    http::response<http::string_body> response(std::move(head), std::move(body));
    response.content_length(response.body().size());
    response.keep_alive(request.keeps_connection);
    request.stream.expires_after(absl::ToChronoNanoseconds(m_options.body_idle_timeout));
    const auto [failure, bytes] = co_await http::async_write(request.stream, response, as_result);
    co_return relay_result{failure ? result_code::caller_disconnected : result_code::ok, true};
}

asio::awaitable<relay_result> response_relay::relay_stream(exchange& source, served_request& request,
                                                           http::response_header<> head, std::string buffered) const {
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
    response.keep_alive(request.keeps_connection);
    http::response_serializer<http::buffer_body> serializer(response);
    std::vector<char> chunk(buffered.begin(), buffered.end());
    std::size_t size = chunk.size();
    buffered = {};
    chunk.resize(std::max(stream_chunk_bytes, size));
    bool is_last = false;
    while (true) {
        response.body() = {is_last ? nullptr : chunk.data(), size, !is_last};
        request.stream.expires_after(absl::ToChronoNanoseconds(m_options.body_idle_timeout));
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
