#include "store/http_store.h"

#include "store/call_counter.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>
#include <vector>

namespace amaranthladder {

namespace {

// Idle connections beyond this number are closed; a daemon has one watch and one other call at a time.
constexpr std::size_t max_idle_connections = 4;

// The stand-in and common servers close idle connections after 5 s; a connection that the server closes while a
// write is on its way would leave that write's outcome unknown.
constexpr absl::Duration max_idle_time = absl::Seconds(3);

// A watch asks the store to answer this part of the deadline earlier, so that an unchanged key is reported as
// unchanged and not as a passed deadline.
constexpr double watch_answer_share = 0.1;
constexpr absl::Duration max_watch_answer_time = absl::Milliseconds(500);

constexpr absl::Duration min_deadline = absl::Milliseconds(1);

bool read_number(const httplib::Response& response, const char* header, std::uint64_t& number) {
    const std::string text = response.get_header_value(header);
    const char* const end = text.data() + text.size();
    const auto [parsed_end, failure] = std::from_chars(text.data(), end, number);
    return !text.empty() && failure == std::errc{} && parsed_end == end;
}

store_outcome outcome_of_status(int status, bool is_write) {
    switch (status) {
    case 200:
        return store_outcome::ok;
    case 204:
        return store_outcome::unchanged;
    case 404:
        return store_outcome::absent;
    case 409:
        return store_outcome::conflict;
    case 400:
    case 413:
    case 503:
        return store_outcome::unavailable;
    default:
        return is_write ? store_outcome::unknown : store_outcome::unavailable;
    }
}

struct answer {
    store_outcome outcome = store_outcome::unavailable;
    httplib::Response response;
};

} // namespace

class http_store::connections {
public:
    connections(endpoint address, call_counter& counter) : m_address(std::move(address)), m_counter(counter) {}

    /// Sends one request. cpp-httplib applies its timeouts to connecting and to each wait for the socket; the progress
    /// function ends a body that arrives too slowly. Only a head that arrives byte by byte can exceed the deadline.
    answer call(store_call_kind kind, httplib::Request request, absl::Duration deadline) {
        answer result;
        const bool is_write = request.method != "GET";
        auto client = take();
        if (client != nullptr) {
            const absl::Time end = absl::Now() + std::max(deadline, min_deadline);
            set_timeouts(*client, std::max(deadline, min_deadline));
            request.progress = [end](std::uint64_t, std::uint64_t) { return absl::Now() < end; };
            httplib::Error failure = httplib::Error::Success;
            const bool is_answered = client->send(request, result.response, failure);
            if (is_answered) {
                result.outcome = outcome_of_status(result.response.status, is_write);
            } else if (is_write && failure != httplib::Error::Connection &&
                       failure != httplib::Error::ConnectionTimeout) {
                result.outcome = store_outcome::unknown;
            }
            give_back(std::move(client), is_answered);
        }
        m_counter.add(kind, result.outcome);
        return result;
    }

    void close() {
        const absl::MutexLock lock(&m_mutex);
        m_is_closed = true;
        m_idle.clear();
        for (httplib::Client* client : m_busy) {
            client->stop();
        }
    }

private:
    struct idle_client {
        std::unique_ptr<httplib::Client> client;
        absl::Time since;
    };

    std::unique_ptr<httplib::Client> take() {
        const absl::MutexLock lock(&m_mutex);
        if (m_is_closed) {
            return nullptr;
        }
        const absl::Time oldest = absl::Now() - max_idle_time;
        std::erase_if(m_idle, [oldest](const idle_client& idle) { return idle.since < oldest; });
        std::unique_ptr<httplib::Client> client;
        if (m_idle.empty()) {
            client = std::make_unique<httplib::Client>(m_address.address, m_address.port);
            client->set_tcp_nodelay(true);
            client->set_keep_alive(true);
            client->set_url_encode(false);
        } else {
            client = std::move(m_idle.back().client);
            m_idle.pop_back();
        }
        m_busy.insert(client.get());
        return client;
    }

    void give_back(std::unique_ptr<httplib::Client> client, bool is_reusable) {
        const absl::MutexLock lock(&m_mutex);
        m_busy.erase(client.get());
        if (is_reusable && !m_is_closed && m_idle.size() < max_idle_connections) {
            m_idle.push_back({std::move(client), absl::Now()});
        }
    }

    static void set_timeouts(httplib::Client& client, absl::Duration limit) {
        const std::int64_t us = absl::ToInt64Microseconds(limit);
        client.set_connection_timeout(us / 1'000'000, us % 1'000'000);
        client.set_read_timeout(us / 1'000'000, us % 1'000'000);
        client.set_write_timeout(us / 1'000'000, us % 1'000'000);
    }

    const endpoint m_address;
    call_counter& m_counter;
    absl::Mutex m_mutex;
    std::vector<idle_client> m_idle ABSL_GUARDED_BY(m_mutex);
    std::set<httplib::Client*> m_busy ABSL_GUARDED_BY(m_mutex);
    bool m_is_closed ABSL_GUARDED_BY(m_mutex) = false;
};

namespace {

httplib::Request make_request(const char* method, std::string path) {
    httplib::Request request;
    request.method = method;
    request.path = std::move(path);
    return request;
}

httplib::Request make_lease_request(const char* method, const std::string& key, absl::Duration ttl) {
    httplib::Request request = make_request(method, "/v1/lease/" + key);
    request.set_header("Lease-Ttl-Ms", std::to_string(absl::ToInt64Milliseconds(ttl)));
    return request;
}

// An answer that lacks its headers says nothing about a write.
store_result<versioned_value> to_value(answer received) {
    versioned_value value;
    if (received.outcome != store_outcome::ok) {
        return {received.outcome, {}};
    }
    if (!read_number(received.response, "Revision", value.key_revision)) {
        return {store_outcome::unavailable, {}};
    }
    value.value = std::move(received.response.body);
    return {store_outcome::ok, std::move(value)};
}

store_result<lease> to_lease(const answer& received, lease held) {
    if (received.outcome != store_outcome::ok) {
        return {received.outcome, {}};
    }
    if (!read_number(received.response, "Lease-Id", held.id)) {
        return {store_outcome::unknown, {}};
    }
    return {store_outcome::ok, std::move(held)};
}

} // namespace

http_store::http_store(endpoint address, call_counter& counter)
    : m_connections(std::make_unique<connections>(std::move(address), counter)) {}

http_store::~http_store() = default;

store_result<versioned_value> http_store::get(const std::string& key, absl::Duration deadline) {
    return to_value(m_connections->call(store_call_kind::get, make_request("GET", "/v1/kv/" + key), deadline));
}

store_result<revision> http_store::compare_and_swap(const std::string& key, revision expected, const std::string& value,
                                                    absl::Duration deadline) {
    httplib::Request request = make_request("PUT", "/v1/kv/" + key);
    request.set_header("Expected-Revision", std::to_string(expected));
    request.set_header("Content-Type", "application/octet-stream");
    request.body = value;
    const answer received = m_connections->call(store_call_kind::compare_and_swap, std::move(request), deadline);
    revision written = 0;
    if (received.outcome != store_outcome::ok) {
        return {received.outcome, {}};
    }
    if (!read_number(received.response, "Revision", written)) {
        return {store_outcome::unknown, {}};
    }
    return {store_outcome::ok, written};
}

store_result<lease> http_store::acquire_lease(const std::string& key, const std::string& holder, absl::Duration ttl,
                                              absl::Duration deadline) {
    httplib::Request request = make_lease_request("POST", key, ttl);
    request.set_header("Lease-Holder", holder);
    return to_lease(m_connections->call(store_call_kind::acquire_lease, std::move(request), deadline),
                    {key, holder, 0, ttl});
}

store_result<lease> http_store::renew_lease(const lease& held, absl::Duration deadline) {
    httplib::Request request = make_lease_request("PUT", held.key, held.ttl);
    request.set_header("Lease-Id", std::to_string(held.id));
    return to_lease(m_connections->call(store_call_kind::renew_lease, std::move(request), deadline), held);
}

store_result<revision> http_store::release_lease(const lease& held, absl::Duration deadline) {
    httplib::Request request = make_lease_request("DELETE", held.key, held.ttl);
    request.set_header("Lease-Id", std::to_string(held.id));
    const answer received = m_connections->call(store_call_kind::release_lease, std::move(request), deadline);
    return {received.outcome, received.outcome == store_outcome::ok ? std::optional<revision>(0) : std::nullopt};
}

store_result<versioned_value> http_store::watch(const std::string& key, revision after, absl::Duration deadline) {
    const absl::Duration wait = deadline - std::min(deadline * watch_answer_share, max_watch_answer_time);
    return to_value(m_connections->call(
        store_call_kind::watch,
        make_request("GET", fmt::format("/v1/kv/{}?after={}&wait_ms={}", key, after, absl::ToInt64Milliseconds(wait))),
        deadline));
}

void http_store::close() {
    m_connections->close();
}

} // namespace amaranthladder
