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
constexpr std::uint64_t max_answer_bytes = 256ULL * 1024 * 1024;

/// Sends the calls of one target over its connections, round robin.
class target_load {
public:
    target_load(asio::io_context& context, const load_options& options, const load_target& target)
        : m_context(context), m_options(options), m_target(target), m_free(context) {
        m_result.name = target.name;
        for (int index = 0; index < options.connections; ++index) {
            m_idle.push_back(std::make_unique<connection>(context));
        }
    }

    asio::awaitable<void> run(std::chrono::steady_clock::time_point start) {
        const auto interval = std::chrono::duration<double>(1.0 / m_options.calls_per_second);
        const auto calls =
            static_cast<std::uint64_t>(m_options.calls_per_second * absl::ToDoubleSeconds(m_options.duration));
        asio::steady_timer timer(m_context);
        for (std::uint64_t index = 0; index < calls; ++index) {
            const auto planned =
                start + std::chrono::duration_cast<std::chrono::nanoseconds>(interval * static_cast<double>(index));
            timer.expires_at(planned);
            co_await timer.async_wait(as_result);
            asio::co_spawn(m_context, call(planned), asio::detached);
        }
    }

    load_result& result() {
        return m_result;
    }

private:
    struct connection {
        explicit connection(asio::io_context& context) : stream(context) {}
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool is_open = false;
    };

    asio::awaitable<void> call(std::chrono::steady_clock::time_point planned) {
        // All connections busy: the wait counts as latency, since the call was due.
        while (m_idle.empty()) {
            m_free.expires_after(std::chrono::milliseconds(1));
            co_await m_free.async_wait(as_result);
        }
        auto used = std::move(m_idle.front());
        m_idle.pop_front();
        const int status = co_await exchange(*used);
        m_result.latency.add(absl::FromChrono(std::chrono::steady_clock::now() - planned));
        ++m_result.calls;
        ++m_result.calls_by_status[status];
        m_idle.push_back(std::move(used));
    }

    asio::awaitable<int> exchange(connection& used) {
        const std::string address = to_string(m_target.address);
        used.stream.expires_after(absl::ToChronoNanoseconds(m_options.call_timeout));
        if (!used.is_open) {
            const asio::ip::tcp::endpoint remote(asio::ip::make_address(m_target.address.address),
                                                 m_target.address.port);
            const auto [failure] = co_await used.stream.async_connect(remote, as_result);
            if (failure) {
                used.stream.close();
                co_return 0;
            }
            used.stream.socket().set_option(asio::ip::tcp::no_delay(true));
            used.is_open = true;
        }
        http::request<http::string_body> request(http::string_to_verb(m_target.method), m_target.path, 11);
        request.set(http::field::host, address);
        request.body().assign(m_target.body_bytes, 'x');
        request.prepare_payload();
        const auto [write_failure, written] = co_await http::async_write(used.stream, request, as_result);
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_answer_bytes);
        beast::error_code failure = write_failure;
        if (!failure) {
            const auto [read_failure, read] = co_await http::async_read(used.stream, used.buffer, parser, as_result);
            failure = read_failure;
        }
        if (failure || !parser.keep_alive()) {
            used.stream.close();
            used.buffer.clear();
            used.is_open = false;
        }
        co_return failure ? 0 : static_cast<int>(parser.get().result_int());
    }

    asio::io_context& m_context;
    const load_options& m_options;
    load_target m_target;
    asio::steady_timer m_free;
    std::deque<std::unique_ptr<connection>> m_idle;
    load_result m_result;
};

} // namespace

std::vector<load_result> generate_load(const load_options& options) {
    asio::io_context context(1);
    std::vector<std::unique_ptr<target_load>> loads;
    const auto start = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    for (std::size_t index = 0; index < options.targets.size(); ++index) {
        loads.push_back(std::make_unique<target_load>(context, options, options.targets[index]));
        // Calls to different targets are spread over the interval, so that they do not wait for each other here.
        const auto offset = std::chrono::duration<double>(
            static_cast<double>(index) / static_cast<double>(options.targets.size()) / options.calls_per_second);
        asio::co_spawn(context, loads.back()->run(start + std::chrono::duration_cast<std::chrono::nanoseconds>(offset)),
                       asio::detached);
    }
    context.run();
    std::vector<load_result> results;
    results.reserve(loads.size());
    for (auto& load : loads) {
        results.push_back(load->result());
    }
    return results;
}

} // namespace amaranthladder
