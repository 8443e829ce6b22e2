#include "store/store_connection_pool.h"

#include "common/tcp_keepalive.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include <algorithm>
#include <chrono>
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

} // namespace

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
    explicit implementation(endpoint address) : m_address(std::move(address)) {}

    store_http_response call(const store_http_request& sent, absl::Duration deadline) {
        store_http_response result;
        auto client = acquire();
        if (client == nullptr) {
            return result;
        }
        httplib::Request request;
        request.method = sent.method;
        request.path = sent.path;
        request.body = sent.body;
        for (const auto& [name, value] : sent.headers) {
            request.set_header(name, value);
        }
        const auto end = std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(std::max(deadline, min_deadline));
        set_timeouts(*client, std::max(deadline, min_deadline));
        request.progress = [end](std::uint64_t, std::uint64_t) { return std::chrono::steady_clock::now() < end; };
        httplib::Error failure = httplib::Error::Success;
        httplib::Response response;
        const bool is_answered = client->send(request, response, failure);
        if (is_answered) {
            result.status = response.status;
            result.headers.assign(response.headers.begin(), response.headers.end());
            result.body = std::move(response.body);
        }
        result.may_have_arrived = failure != httplib::Error::Connection && failure != httplib::Error::ConnectionTimeout;
        release(std::move(client), is_answered);
        return result;
    }

    void abort_calls() {
        const absl::MutexLock lock(&m_mutex);
        for (httplib::Client* client : m_busy) {
            client->stop();
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
    struct idle_client {
        std::unique_ptr<httplib::Client> client;
        std::chrono::steady_clock::time_point since;
    };

    std::unique_ptr<httplib::Client> acquire() {
        const absl::MutexLock lock(&m_mutex);
        if (m_is_closed) {
            return nullptr;
        }
        const auto oldest = std::chrono::steady_clock::now() - absl::ToChronoNanoseconds(max_idle_time);
        std::erase_if(m_idle, [oldest](const idle_client& idle) { return idle.since < oldest; });
        std::unique_ptr<httplib::Client> client;
        if (m_idle.empty()) {
            client = std::make_unique<httplib::Client>(m_address.address, m_address.port);
            client->set_tcp_nodelay(true);
            client->set_keep_alive(true);
            client->set_url_encode(false);
            // A watch waits for many seconds on a connection that may be dead. TCP keep-alive probes detect this and,
            // unlike shorter watches, cause no store calls.
            client->set_socket_options([](socket_t socket) { enable_tcp_keepalive(socket); });
        } else {
            client = std::move(m_idle.back().client);
            m_idle.pop_back();
        }
        m_busy.insert(client.get());
        return client;
    }

    void release(std::unique_ptr<httplib::Client> client, bool is_reusable) {
        const absl::MutexLock lock(&m_mutex);
        m_busy.erase(client.get());
        if (is_reusable && !m_is_closed && m_idle.size() < max_idle_connections) {
            m_idle.push_back({std::move(client), std::chrono::steady_clock::now()});
        }
    }

    static void set_timeouts(httplib::Client& client, absl::Duration limit) {
        const std::int64_t us = absl::ToInt64Microseconds(limit);
        const std::int64_t connect_us = absl::ToInt64Microseconds(std::min(limit, connect_limit));
        client.set_connection_timeout(connect_us / 1'000'000, connect_us % 1'000'000);
        client.set_read_timeout(us / 1'000'000, us % 1'000'000);
        client.set_write_timeout(us / 1'000'000, us % 1'000'000);
    }

    const endpoint m_address;
    absl::Mutex m_mutex;
    std::vector<idle_client> m_idle ABSL_GUARDED_BY(m_mutex);
    std::set<httplib::Client*> m_busy ABSL_GUARDED_BY(m_mutex);
    bool m_is_closed ABSL_GUARDED_BY(m_mutex) = false;
};

store_connection_pool::store_connection_pool(endpoint address)
    : m_implementation(std::make_unique<implementation>(std::move(address))) {}

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
