#include "load_generator.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <string>

namespace amaranthladder {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t max_response_bytes = 256ULL * 1024 * 1024;

/// Sends the calls of one target over its pool of connections, least recently used first.
class target_client {
public:
    target_client(asio::io_context& context, const load_options& options, const load_target& target)
        : m_context(context), m_options(options), m_target(target), m_connection_timer(context) {
        m_result.name = target.name;
        for (int index = 0; index < options.connections; ++index) {
            m_idle.push_back(std::make_unique<client_connection>(context));
        }
    }

    asio::awaitable<void> run(std::chrono::steady_clock::time_point start) {
        const auto interval = std::chrono::duration<double>(1.0 / m_options.calls_per_second);
        const auto calls =
            static_cast<std::uint64_t>(m_options.calls_per_second * absl::ToDoubleSeconds(m_options.duration));
        asio::steady_timer timer(m_context);
        for (std::uint64_t index = 0; index < calls; ++index) {
            const auto planned_start =
                start + std::chrono::duration_cast<std::chrono::nanoseconds>(interval * static_cast<double>(index));
            timer.expires_at(planned_start);
            co_await timer.async_wait(as_result);
            asio::co_spawn(m_context, call(planned_start), asio::detached);
        }
    }

    load_result& result() {
        return m_result;
    }

private:
    struct client_connection {
        explicit client_connection(asio::io_context& context) : stream(context) {}
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool is_open = false;
    };

    asio::awaitable<void> call(std::chrono::steady_clock::time_point planned_start) {
        // If all connections are busy, the wait counts as latency, since the call was due.
        while (m_idle.empty()) {
            m_connection_timer.expires_after(std::chrono::milliseconds(1));
            co_await m_connection_timer.async_wait(as_result);
        }
        auto connection = std::move(m_idle.front());
        m_idle.pop_front();
        const int status = co_await send_request(*connection);
        m_result.latency.add(absl::FromChrono(std::chrono::steady_clock::now() - planned_start));
        ++m_result.calls;
        ++m_result.calls_by_status[status];
        m_idle.push_back(std::move(connection));
    }

    asio::awaitable<int> send_request(client_connection& connection) {
        const std::string address = to_string(m_target.address);
        connection.stream.expires_after(absl::ToChronoNanoseconds(m_options.call_timeout));
        if (!connection.is_open) {
            const asio::ip::tcp::endpoint remote(asio::ip::make_address(m_target.address.address),
                                                 m_target.address.port);
            const auto [failure] = co_await connection.stream.async_connect(remote, as_result);
            if (failure) {
                connection.stream.close();
                co_return 0;
            }
            connection.stream.socket().set_option(asio::ip::tcp::no_delay(true));
            connection.is_open = true;
        }
        http::request<http::string_body> request(http::string_to_verb(m_target.method), m_target.path, 11);
        request.set(http::field::host, address);
        request.body().assign(m_target.body_bytes, 'x');
        request.prepare_payload();
        const auto [write_failure, written] = co_await http::async_write(connection.stream, request, as_result);
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_response_bytes);
        beast::error_code failure = write_failure;
        if (!failure) {
            const auto [read_failure, read] =
                co_await http::async_read(connection.stream, connection.buffer, parser, as_result);
            failure = read_failure;
        }
        if (failure || !parser.keep_alive()) {
            connection.stream.close();
            connection.buffer.clear();
            connection.is_open = false;
        }
        co_return failure ? 0 : static_cast<int>(parser.get().result_int());
    }

    asio::io_context& m_context;
    const load_options& m_options;
    load_target m_target;
    asio::steady_timer m_connection_timer;
    std::deque<std::unique_ptr<client_connection>> m_idle;
    load_result m_result;
};

} // namespace

std::vector<load_result> generate_load(const load_options& options) {
    asio::io_context context(1);
    std::vector<std::unique_ptr<target_client>> clients;
    const auto start = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    for (std::size_t index = 0; index < options.targets.size(); ++index) {
        clients.push_back(std::make_unique<target_client>(context, options, options.targets[index]));
        // Calls to different targets are staggered over the interval, so that they do not delay each other in this
        // process.
        const auto offset = std::chrono::duration<double>(
            static_cast<double>(index) / static_cast<double>(options.targets.size()) / options.calls_per_second);
        asio::co_spawn(context,
                       clients.back()->run(start + std::chrono::duration_cast<std::chrono::nanoseconds>(offset)),
                       asio::detached);
    }
    context.run();
    std::vector<load_result> results;
    results.reserve(clients.size());
    for (auto& client : clients) {
        results.push_back(client->result());
    }
    return results;
}

} // namespace amaranthladder
