#include "fake_upstream.h"

#include <absl/cleanup/cleanup.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
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
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <tuple>
#include <utility>
#include <vector>

namespace amaranthladder {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;
constexpr std::uint64_t max_body_bytes = 256ULL * 1024 * 1024;
/// Pause between two bytes of a dripping response.
constexpr auto drip_interval = std::chrono::milliseconds(20);
/// Pause between a complete response and the bytes after it.
constexpr auto surplus_delay = std::chrono::milliseconds(5);
constexpr std::string_view endless_path = "/endless/";

using string_request = http::request<http::string_body>;
using string_response = http::response<http::string_body>;

std::int64_t parse_number_after(std::string_view path, std::string_view prefix) {
    std::int64_t number = 0;
    path.remove_prefix(prefix.size());
    std::from_chars(path.data(), path.data() + path.size(), number);
    return number;
}

void set_behavior_field(fake_upstream_behavior& behavior, const std::string& key, const std::string& value) {
    if (key == "delay_ms") {
        behavior.delay = absl::Milliseconds(std::stoll(value));
    } else if (key == "fail_percent") {
        behavior.fail_percent = std::stoi(value);
    } else if (key == "refuse_percent") {
        behavior.refuse_percent = std::stoi(value);
    } else if (key == "fail_path") {
        behavior.fail_path = value;
    } else if (key == "reset_at") {
        behavior.reset_at = value;
    } else if (key == "silent") {
        behavior.is_silent = value == "1";
    } else if (const auto kind = parse_endless_kind(value); key == "endless" && kind) {
        behavior.endless = *kind;
    } else {
        throw std::invalid_argument("unknown key " + key);
    }
}

} // namespace

class fake_upstream::server {
public:
    server(const endpoint& listen_address, std::string version, fake_upstream_behavior behavior)
        : m_version(std::move(version)), m_behavior(std::move(behavior)),
          m_acceptor(m_context, {asio::ip::make_address(listen_address.address), listen_address.port}) {
        m_address = {listen_address.address, m_acceptor.local_endpoint().port()};
        asio::co_spawn(m_context, accept_connections(), asio::detached);
    }

    void run() {
        m_context.run();
    }

    void stop() {
        m_context.stop();
    }

    endpoint address() const {
        return m_address;
    }

    void set_behavior(const fake_upstream_behavior& behavior) {
        const absl::MutexLock lock(&m_mutex);
        m_behavior = behavior;
    }

    std::map<std::string, int> execution_counts() const {
        const absl::MutexLock lock(&m_mutex);
        return m_execution_counts;
    }

    int running_requests() const {
        const absl::MutexLock lock(&m_mutex);
        return m_running_requests;
    }

    void wait_for_running_request() const {
        const absl::MutexLock lock(&m_mutex, absl::Condition(
                                                 +[](const int* count) { return *count > 0; }, &m_running_requests));
    }

    int accepted_connections() const {
        return m_accepted;
    }

    int open_connections() const {
        return m_open;
    }

private:
    asio::awaitable<void> accept_connections() {
        while (true) {
            auto [failure, socket] = co_await m_acceptor.async_accept(as_result);
            if (failure) {
                continue;
            }
            socket.set_option(asio::ip::tcp::no_delay(true));
            asio::co_spawn(m_context, serve_connection(beast::tcp_stream(std::move(socket)), m_accepted++),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve_connection(beast::tcp_stream stream, int connection_index) {
        ++m_open;
        const absl::Cleanup closed = [this] { --m_open; };
        beast::flat_buffer buffer;
        bool is_open = true;
        while (is_open) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_body_bytes);
            const auto [head_failure, head_bytes] = co_await http::async_read_header(stream, buffer, parser, as_result);
            if (head_failure) {
                break;
            }
            const fake_upstream_behavior behavior = current_behavior();
            if (behavior.reset_at == "after-headers") {
                reset(stream);
                break;
            }
            const auto [failure, bytes] = co_await http::async_read(stream, buffer, parser, as_result);
            if (failure || connection_index < behavior.silent_connections) {
                co_await wait_for_close(stream, !failure);
                break;
            }
            is_open = co_await respond(stream, parser.get(), behavior);
        }
    }

    /// Keeps a connection open without responding, until the peer closes it.
    static asio::awaitable<void> wait_for_close(beast::tcp_stream& stream, bool is_open) {
        char byte = 0;
        while (is_open) {
            const auto [failure, size] = co_await stream.async_read_some(asio::buffer(&byte, 1), as_result);
            is_open = !failure;
        }
    }

    asio::awaitable<bool> respond(beast::tcp_stream& stream, const string_request& request,
                                  const fake_upstream_behavior& behavior) {
        const std::string path(request.target());
        if (path.starts_with("/fake/")) {
            co_return co_await write(stream, request, handle_control_request(request, path));
        }
        if (random_chance(behavior.refuse_percent)) {
            co_return co_await write(stream, request, make_response(request, 503, "refused\n"));
        }
        record_request_start(request);
        absl::Duration delay = behavior.delay;
        if (path.starts_with("/wait/")) {
            delay = absl::Milliseconds(parse_number_after(path, "/wait/"));
        }
        if (delay > absl::ZeroDuration()) {
            asio::steady_timer timer(m_context, absl::ToChronoNanoseconds(delay));
            co_await timer.async_wait(as_result);
        }
        record_request_end();
        if (behavior.is_silent) {
            asio::steady_timer timer(m_context, std::chrono::hours(1));
            co_await timer.async_wait(as_result);
        }
        const endless_kind endless =
            path.starts_with(endless_path)
                ? parse_endless_kind(path.substr(endless_path.size())).value_or(endless_kind::none)
                : behavior.endless;
        if (endless != endless_kind::none) {
            co_return co_await write_endless(stream, request, endless);
        }
        if (behavior.reset_at == "after-body") {
            reset(stream);
            co_return false;
        }
        if (random_chance(behavior.fail_percent) ||
            (!behavior.fail_path.empty() && path.starts_with(behavior.fail_path))) {
            co_return co_await write(stream, request, make_response(request, 500, "failed\n"));
        }
        if (behavior.reset_at == "in-response" || path.starts_with("/truncated/")) {
            co_await write_truncated(stream,
                                     path.starts_with("/truncated/") ? parse_number_after(path, "/truncated/") : 100);
            reset(stream);
            co_return false;
        }
        if (path.starts_with("/chunked/") || path.starts_with("/close/")) {
            co_return co_await write_streamed_body(stream, request, path);
        }
        std::string body = request.body().empty() ? "version " + m_version + "\n" : request.body();
        if (path.starts_with("/bytes/")) {
            body.assign(static_cast<std::size_t>(parse_number_after(path, "/bytes/")), 'b');
        }
        co_return co_await write(stream, request, make_response(request, 200, std::move(body)));
    }

    asio::awaitable<bool> write_endless(beast::tcp_stream& stream, const string_request& request, endless_kind kind) {
        const bool is_duplicate = kind == endless_kind::late_duplicate;
        if (is_duplicate || kind == endless_kind::surplus || kind == endless_kind::late_surplus) {
            const string_response response = make_response(request, 200, "whole\n");
            bool is_open = co_await write(stream, request, response);
            if (kind != endless_kind::surplus) {
                co_await pause(surplus_delay);
            }
            if (is_duplicate) {
                co_return is_open&& co_await write(stream, request, response);
            }
            const std::string surplus(chunk_bytes, 's');
            const auto [failure, bytes] = co_await asio::async_write(stream, asio::buffer(surplus), as_result);
            co_return is_open && !failure;
        }
        const endless_bytes bytes = make_endless_bytes(kind, response_headers(request));
        auto [failure, size] = co_await asio::async_write(stream, asio::buffer(bytes.first), as_result);
        for (std::size_t position = 0; !failure; position = (position + 1) % bytes.repeated.size()) {
            const auto piece =
                bytes.is_drip ? asio::buffer(&bytes.repeated[position], 1) : asio::buffer(bytes.repeated);
            std::tie(failure, size) = co_await asio::async_write(stream, piece, as_result);
            if (bytes.is_drip) {
                co_await pause(drip_interval);
            }
        }
        co_return false;
    }

    asio::awaitable<void> pause(std::chrono::milliseconds length) {
        asio::steady_timer timer(m_context, length);
        co_await timer.async_wait(as_result);
    }

    std::string response_headers(const string_request& request) const {
        std::string headers = "x-version: " + m_version + "\r\n";
        if (const auto id = request["x-amaranthladder-request-id"]; !id.empty()) {
            headers += "x-amaranthladder-request-id: " + std::string(id) + "\r\n";
        }
        return headers;
    }

    string_response make_response(const string_request& request, unsigned status, std::string body) const {
        string_response response(static_cast<http::status>(status), request.version());
        response.set("x-version", m_version);
        const auto id = request["x-amaranthladder-request-id"];
        if (!id.empty()) {
            response.set("x-amaranthladder-request-id", current_behavior().sends_wrong_request_id ? "another" : id);
        }
        for (const auto& [name, value] : current_behavior().headers) {
            response.set(name, value);
        }
        response.keep_alive(request.keep_alive());
        response.body() = std::move(body);
        response.prepare_payload();
        return response;
    }

    static asio::awaitable<bool> write(beast::tcp_stream& stream, const string_request& request,
                                       string_response response) {
        if (request.method() == http::verb::head) {
            http::response<http::empty_body> head(response.base());
            const auto [failure, bytes] = co_await http::async_write(stream, head, as_result);
            co_return !failure;
        }
        const auto [failure, bytes] = co_await http::async_write(stream, response, as_result);
        co_return !failure && response.keep_alive();
    }

    asio::awaitable<bool> write_streamed_body(beast::tcp_stream& stream, const string_request& request,
                                              const std::string& path) {
        const bool is_chunked = path.starts_with("/chunked/");
        std::int64_t remaining_bytes = parse_number_after(path, is_chunked ? "/chunked/" : "/close/");
        http::response<http::buffer_body> response(http::status::ok, 11);
        response.set("x-version", m_version);
        response.chunked(is_chunked);
        response.keep_alive(is_chunked && request.keep_alive());
        http::response_serializer<http::buffer_body> serializer(response);
        std::string chunk(chunk_bytes, 'c');
        while (remaining_bytes > 0) {
            const auto size = static_cast<std::size_t>(std::min<std::int64_t>(remaining_bytes, chunk_bytes));
            response.body() = {chunk.data(), size, true};
            const auto [failure, bytes] = co_await http::async_write(stream, serializer, as_result);
            if (failure && failure != http::error::need_buffer) {
                co_return false;
            }
            remaining_bytes -= static_cast<std::int64_t>(size);
        }
        response.body() = {nullptr, 0, false};
        const auto [failure, bytes] = co_await http::async_write(stream, serializer, as_result);
        if (!is_chunked) {
            beast::error_code ignored;
            stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        co_return !failure && is_chunked;
    }

    static asio::awaitable<void> write_truncated(beast::tcp_stream& stream, std::int64_t content_length) {
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(content_length) + "\r\n\r\n" +
                                 std::string(static_cast<std::size_t>(content_length / 2), 't');
        co_await asio::async_write(stream, asio::buffer(text), as_result);
        // A reset discards unsent data, so the bytes need time to leave first.
        asio::steady_timer timer(stream.get_executor(), std::chrono::milliseconds(20));
        co_await timer.async_wait(as_result);
    }

    string_response handle_control_request(const string_request& request, const std::string& path) {
        if (path == "/fake/executed") {
            return make_response(request, 200, boost::json::serialize(boost::json::value_from(execution_counts())));
        }
        const auto question = path.find('?');
        if (!path.starts_with("/fake/behavior") || question == std::string::npos) {
            return make_response(request, 404, "unknown control path\n");
        }
        try {
            fake_upstream_behavior changed = current_behavior();
            std::vector<std::string> pairs;
            const std::string query = path.substr(question + 1);
            boost::algorithm::split(pairs, query, [](char letter) { return letter == '&'; });
            for (const auto& pair : pairs) {
                const auto equals = pair.find('=');
                set_behavior_field(changed, pair.substr(0, equals),
                                   equals == std::string::npos ? "" : pair.substr(equals + 1));
            }
            set_behavior(changed);
            return make_response(request, 200, "ok\n");
        } catch (const std::exception& problem) {
            return make_response(request, 400, std::string(problem.what()) + "\n");
        }
    }

    static void reset(beast::tcp_stream& stream) {
        beast::error_code ignored;
        stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream.socket().close(ignored);
    }

    bool random_chance(int percent) {
        return percent > 0 && absl::Uniform(m_random, 0, 100) < percent;
    }

    fake_upstream_behavior current_behavior() const {
        const absl::MutexLock lock(&m_mutex);
        return m_behavior;
    }

    void record_request_start(const string_request& request) {
        const absl::MutexLock lock(&m_mutex);
        ++m_running_requests;
        // The caller's own id, if present, also reveals executions under two different request ids of the mesh.
        const auto caller_id = request["x-caller-id"];
        const auto mesh_id = request["x-amaranthladder-request-id"];
        // The platform's name of the same header.
        const auto own_id = mesh_id.empty() ? request["x-request-id"] : mesh_id;
        const auto id = caller_id.empty() ? own_id : caller_id;
        if (!id.empty() && m_execution_counts.size() < max_recorded_ids) {
            ++m_execution_counts[std::string(id)];
        }
    }

    void record_request_end() {
        const absl::MutexLock lock(&m_mutex);
        --m_running_requests;
    }

    static constexpr std::size_t max_recorded_ids = 1'000'000;

    std::string m_version;
    mutable absl::Mutex m_mutex;
    fake_upstream_behavior m_behavior ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, int> m_execution_counts ABSL_GUARDED_BY(m_mutex);
    int m_running_requests ABSL_GUARDED_BY(m_mutex) = 0;
    std::atomic<int> m_accepted = 0;
    std::atomic<int> m_open = 0;
    absl::BitGen m_random;
    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor;
    endpoint m_address;
};

fake_upstream::fake_upstream(const endpoint& listen_address, std::string version, fake_upstream_behavior behavior)
    : m_server(std::make_unique<server>(listen_address, std::move(version), std::move(behavior))) {}

fake_upstream::~fake_upstream() = default;

endpoint fake_upstream::address() const {
    return m_server->address();
}

void fake_upstream::run() {
    m_server->run();
}

void fake_upstream::stop() {
    m_server->stop();
}

void fake_upstream::set_behavior(const fake_upstream_behavior& behavior) {
    m_server->set_behavior(behavior);
}

std::map<std::string, int> fake_upstream::execution_counts() const {
    return m_server->execution_counts();
}

void fake_upstream::wait_for_running_request() const {
    m_server->wait_for_running_request();
}

int fake_upstream::accepted_connections() const {
    return m_server->accepted_connections();
}

int fake_upstream::open_connections() const {
    return m_server->open_connections();
}

int fake_upstream::running_requests() const {
    return m_server->running_requests();
}

} // namespace amaranthladder
