#include "http/private/control_session.h"

#include <optional>
#include <utility>

namespace amaranthladder {

namespace {

/// An upstream's announcement is shorter than both limits.
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024;
constexpr std::uint32_t max_header_bytes = 16 * 1024;
/// Well above the one to two seconds between the announcements of an upstream.
constexpr auto idle_timeout = std::chrono::seconds(30);

/// @return the reply to bytes that are no request that is accepted; nothing if the connection has just ended.
std::optional<control_reply> reply_to_failed_read(error_code failure) {
    if (is_too_large(failure)) {
        return make_error_reply(result_code::message_too_large, failure.message());
    }
    return is_malformed(failure) ? std::optional(make_error_reply(result_code::request_malformed, failure.message()))
                                 : std::nullopt;
}

asio::awaitable<bool> write_reply(beast::tcp_stream& stream, control_reply reply, unsigned version, bool keep_alive) {
    http::response<http::string_body> response(static_cast<http::status>(reply.status), version);
    response.set(http::field::content_type, reply.type);
    response.keep_alive(keep_alive);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    const auto [failure, written] = co_await http::async_write(stream, response, as_result);
    co_return !failure && response.keep_alive();
}

} // namespace

asio::awaitable<void> serve_control(asio::ip::tcp::socket socket,
                                    std::function<control_reply(const control_request&)> handler) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(max_body_bytes + max_header_bytes);
    bool is_open = true;
    while (is_open) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        stream.expires_after(idle_timeout);
        const auto [read_failure, size] = co_await http::async_read(stream, buffer, parser, as_result);
        if (read_failure) {
            if (std::optional<control_reply> reply = reply_to_failed_read(read_failure)) {
                co_await write_reply(stream, std::move(*reply), parser.get().version(), false);
            }
            co_return;
        }
        const auto& received = parser.get();
        const auto method = received.method_string();
        const auto target = received.target();
        control_reply reply = handler(
            {std::string(method.data(), method.size()), std::string(target.data(), target.size()), received.body()});
        is_open = co_await write_reply(stream, std::move(reply), received.version(), received.keep_alive());
    }
}

} // namespace amaranthladder
