#include "http/private/control_session.h"

#include <utility>

namespace amaranthladder {

namespace {

/// An upstream's announcement is shorter than both limits.
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024;
constexpr std::uint32_t max_header_bytes = 16 * 1024;
/// Well above the one to two seconds between the announcements of an upstream.
constexpr auto idle_timeout = std::chrono::seconds(30);

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
            co_return;
        }
        const auto& received = parser.get();
        const auto method = received.method_string();
        const auto target = received.target();
        control_reply reply = handler(
            {std::string(method.data(), method.size()), std::string(target.data(), target.size()), received.body()});
        http::response<http::string_body> response(static_cast<http::status>(reply.status), received.version());
        response.set(http::field::content_type, "application/json");
        response.keep_alive(received.keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        is_open = response.keep_alive();
        const auto [write_failure, written] = co_await http::async_write(stream, response, as_result);
        is_open = is_open && !write_failure;
    }
}

} // namespace amaranthladder
