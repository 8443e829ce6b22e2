#include "store/store_connection_pool.h"

#include "common/asio_types.h"
#include "common/idle_connection.h"
#include "common/tcp_keepalive.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <exception>
#include <set>

namespace amaranthladder {

namespace {

// Further idle connections are closed; a daemon has one watch and one other call at a time.
constexpr std::size_t max_idle_connections = 4;

// The store stand-in and common servers close idle connections after 5 s; if a server closes a connection while a
// write is being sent, the outcome of that write is unknown.
constexpr absl::Duration max_idle_time = absl::Seconds(3);

// Connecting takes milliseconds or fails; the rest of a long deadline is for the response.
constexpr absl::Duration connect_limit = absl::Seconds(1);

constexpr absl::Duration min_deadline = absl::Milliseconds(1);

/// Received bytes that are not parsed yet.
constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;
constexpr int http_version = 11;

constexpr std::array<std::pair<http_call_failure, std::string_view>, 7> failure_names{{
    {http_call_failure::none, "none"},
    {http_call_failure::connect_failed, "connect-failed"},
    {http_call_failure::timed_out, "timed-out"},
    {http_call_failure::too_large, "too-large"},
    {http_call_failure::malformed, "malformed"},
    {http_call_failure::connection_lost, "connection-lost"},
    {http_call_failure::aborted, "aborted"},
}};

http_call_failure to_failure(error_code problem) {
    if (problem == beast::error::timeout) {
        return http_call_failure::timed_out;
    }
    if (is_too_large(problem)) {
        return http_call_failure::too_large;
    }
    if (is_malformed(problem)) {
        return http_call_failure::malformed;
    }
    return http_call_failure::connection_lost;
}

/// One connection with an event loop of its own, which the thread that makes a call runs.
struct connection {
    asio::io_context context{1};
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer{max_buffered_bytes};
    std::chrono::steady_clock::time_point idle_since;
    std::atomic<bool> is_aborted = false;
};

http::request<http::string_body> make_message(const store_http_request& sent, const endpoint& address) {
    http::request<http::string_body> message;
    message.version(http_version);
    message.method_string(beast_view(sent.method));
    message.target(beast_view(sent.path));
    message.set(http::field::host, to_string(address));
    for (const auto& [name, value] : sent.headers) {
        message.set(name, value);
    }
    message.body() = sent.body;
    message.prepare_payload();
    return message;
}

} // namespace

std::string_view name(http_call_failure failure) {
    const auto* const found = std::ranges::find(failure_names, failure, [](const auto& row) { return row.first; });
    return found == failure_names.end() ? "unknown" : found->second;
}

std::string store_http_response::header(const std::string& name) const {
    const auto found = std::ranges::find_if(headers, [&](const auto& item) {
        return item.first.size() == name.size() &&
               std::equal(name.begin(), name.end(), item.first.begin(), [](unsigned char left, unsigned char right) {
                   return std::tolower(left) == std::tolower(right);
               });
    });
    return found == headers.end() ? "" : found->second;
}

class store_connection_pool::implementation {
public:
    implementation(endpoint address, http_response_limits limits) : m_address(std::move(address)), m_limits(limits) {}

    store_http_response call(const store_http_request& sent, absl::Duration deadline) {
        std::unique_ptr<connection> used = acquire();
        store_http_response result;
        if (used == nullptr) {
            result.failure = http_call_failure::aborted;
            return result;
        }
        const auto end = std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(std::max(deadline, min_deadline));
        bool is_reusable = false;
        std::exception_ptr problem;
        used->context.restart();
        asio::co_spawn(used->context, exchange(*used, make_message(sent, m_address), end, result),
                       [&](const std::exception_ptr& thrown, bool may_reuse) {
                           problem = thrown;
                           is_reusable = may_reuse;
                       });
        used->context.run();
        if (used->is_aborted && result.status == 0) {
            result.failure = http_call_failure::aborted;
        }
        release(std::move(used), is_reusable);
        if (problem) {
            std::rethrow_exception(problem);
        }
        return result;
    }

    void abort_calls() {
        const absl::MutexLock lock(&m_mutex);
        for (connection* const busy : m_busy) {
            busy->is_aborted = true;
            asio::post(busy->context, [busy] { busy->stream.close(); });
        }
    }

    void close() {
        {
            const absl::MutexLock lock(&m_mutex);
            m_is_closed = true;
            m_idle.clear();
        }
        abort_calls();
    }

private:
    using time_point = std::chrono::steady_clock::time_point;

    std::unique_ptr<connection> acquire() {
        const absl::MutexLock lock(&m_mutex);
        if (m_is_closed) {
            return nullptr;
        }
        const auto oldest = std::chrono::steady_clock::now() - absl::ToChronoNanoseconds(max_idle_time);
        std::erase_if(m_idle, [oldest](const auto& idle) {
            return idle->idle_since < oldest || check_idle(idle->stream.socket(), idle->buffer) != idle_state::quiet;
        });
        std::unique_ptr<connection> acquired;
        if (m_idle.empty()) {
            acquired = std::make_unique<connection>();
        } else {
            acquired = std::move(m_idle.back());
            m_idle.pop_back();
        }
        m_busy.insert(acquired.get());
        return acquired;
    }

    void release(std::unique_ptr<connection> used, bool is_reusable) {
        const absl::MutexLock lock(&m_mutex);
        m_busy.erase(used.get());
        if (is_reusable && !used->is_aborted && !m_is_closed && m_idle.size() < max_idle_connections) {
            used->idle_since = std::chrono::steady_clock::now();
            m_idle.push_back(std::move(used));
        }
    }

    /// Sends @p message and reads its response into @p result.
    /// @return true if the connection can carry another request.
    asio::awaitable<bool> exchange(connection& used, http::request<http::string_body> message, time_point end,
                                   store_http_response& result) const {
        if (!used.stream.socket().is_open()) {
            if (const error_code problem = co_await connect(used, end)) {
                result.failure = http_call_failure::connect_failed;
                co_return false;
            }
        }
        // close() of a socket that was not open yet has no effect.
        if (used.is_aborted) {
            co_return false;
        }
        used.stream.expires_at(end);
        result.may_have_arrived = true;
        const auto [write_problem, written] = co_await http::async_write(used.stream, message, as_result);
        if (write_problem) {
            result.failure = to_failure(write_problem);
            co_return false;
        }
        for (int interim = 0; interim <= max_interim_responses; ++interim) {
            http::response_parser<http::string_body> parser;
            parser.header_limit(static_cast<std::uint32_t>(m_limits.header_bytes));
            parser.body_limit(m_limits.body_bytes);
            const auto [problem, size] = co_await http::async_read(used.stream, used.buffer, parser, as_result);
            if (problem) {
                result.failure = to_failure(problem);
                co_return false;
            }
            if (parser.get().result_int() >= min_final_status) {
                const bool is_reusable = parser.keep_alive();
                used.stream.expires_never();
                accept(parser.release(), result);
                co_return is_reusable;
            }
        }
        result.failure = http_call_failure::too_large;
        co_return false;
    }

    asio::awaitable<error_code> connect(connection& used, time_point end) const {
        error_code problem;
        const auto address = asio::ip::make_address(m_address.address, problem);
        if (problem) {
            co_return problem;
        }
        used.stream.expires_at(
            std::min(end, std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(connect_limit)));
        const auto [connect_problem] =
            co_await used.stream.async_connect(asio::ip::tcp::endpoint(address, m_address.port), as_result);
        if (connect_problem) {
            co_return connect_problem;
        }
        used.stream.socket().set_option(asio::ip::tcp::no_delay(true), problem);
        // A watch waits for many seconds on a connection that may be dead. TCP keep-alive probes detect this and,
        // unlike shorter watches, cause no store calls.
        enable_tcp_keepalive(used.stream.socket().native_handle());
        co_return error_code{};
    }

    static void accept(http::response<http::string_body> response, store_http_response& result) {
        result.status = static_cast<int>(response.result_int());
        for (const auto& field : response) {
            const auto name = field.name_string();
            const auto value = field.value();
            result.headers.emplace_back(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
        }
        result.body = std::move(response.body());
    }

    const endpoint m_address;
    const http_response_limits m_limits;
    absl::Mutex m_mutex;
    std::vector<std::unique_ptr<connection>> m_idle ABSL_GUARDED_BY(m_mutex);
    std::set<connection*> m_busy ABSL_GUARDED_BY(m_mutex);
    bool m_is_closed ABSL_GUARDED_BY(m_mutex) = false;
};

store_connection_pool::store_connection_pool(endpoint address, http_response_limits limits)
    : m_implementation(std::make_unique<implementation>(std::move(address), limits)) {}

store_connection_pool::~store_connection_pool() = default;

store_http_response store_connection_pool::call(const store_http_request& request, absl::Duration deadline) {
    return m_implementation->call(request, deadline);
}

void store_connection_pool::abort_calls() {
    m_implementation->abort_calls();
}

void store_connection_pool::close() {
    m_implementation->close();
}

} // namespace amaranthladder
