#include "store_stand_in.h"

#include "store_stand_in_state.h"

#include "common/error.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>

namespace amaranthladder {

namespace {

// Longer than any client's deadline: clients abort their calls themselves.
constexpr absl::Duration server_deadline = absl::Minutes(10);

// Connections that arrive at the same time queue in the kernel; the backlog of cpp-httplib is only 5.
constexpr int listen_backlog = 512;

std::optional<std::uint64_t> parse_number(const std::string& text) {
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [parsed_end, failure] = std::from_chars(text.data(), end, number);
    if (text.empty() || failure != std::errc{} || parsed_end != end) {
        return std::nullopt;
    }
    return number;
}

void respond_error(httplib::Response& response, int status, const std::string& text) {
    response.status = status;
    response.set_content(boost::json::serialize(boost::json::object{{"error", text}}), "application/json");
}

// Sends the header of a response and then closes the connection, so that the client does not learn the outcome.
void abort_response(httplib::Response& response) {
    response.status = 200;
    response.set_content_provider(1, "application/octet-stream",
                                  [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

boost::json::object to_json(const store_faults& faults) {
    return {{"delay_ms", absl::ToInt64Milliseconds(faults.delay)},
            {"down", faults.is_down},
            {"close", faults.closes_connections},
            {"lose_answers", faults.lose_answers},
            {"lose_requests", faults.lose_requests},
            {"lease_lifetime_percent", faults.lease_lifetime_percent}};
}

boost::json::object to_json(const store_call_counts& counts) {
    return {{"get", counts.get},         {"put", counts.put},     {"watch", counts.watch},
            {"acquire", counts.acquire}, {"renew", counts.renew}, {"release", counts.release}};
}

store_faults faults_from_json(const boost::json::value& value) {
    store_faults faults;
    for (const auto& [key, entry] : value.as_object()) {
        if (key == "delay_ms") {
            faults.delay = absl::Milliseconds(entry.to_number<std::int64_t>());
        } else if (key == "down") {
            faults.is_down = entry.as_bool();
        } else if (key == "close") {
            faults.closes_connections = entry.as_bool();
        } else if (key == "lose_answers") {
            faults.lose_answers = entry.to_number<int>();
        } else if (key == "lose_requests") {
            faults.lose_requests = entry.to_number<int>();
        } else if (key == "lease_lifetime_percent") {
            faults.lease_lifetime_percent = entry.to_number<int>();
        } else {
            throw std::invalid_argument("unknown fault");
        }
    }
    return faults;
}

} // namespace

class store_stand_in::server {
public:
    server(store_stand_in_state& state, const endpoint& address, std::size_t threads)
        : m_state(state), m_address(address) {
        m_http.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        m_http.set_tcp_nodelay(true);
        m_http.set_keep_alive_max_count(1'000'000);
        m_http.set_keep_alive_timeout(5);
        m_http.set_payload_max_length(store_stand_in_state::max_value_bytes);
        int socket_descriptor = -1;
        m_http.set_socket_options([&socket_descriptor](int created) {
            const int yes = 1;
            setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
            socket_descriptor = created;
        });
        add_handlers();
        bool is_bound = true;
        if (address.port == 0) {
            const int port = m_http.bind_to_any_port(address.address);
            is_bound = port > 0;
            m_address.port = static_cast<std::uint16_t>(std::max(port, 0));
        } else {
            is_bound = m_http.bind_to_port(address.address, address.port);
        }
        if (!is_bound || ::listen(socket_descriptor, listen_backlog) != 0) {
            throw error(result_code::listen_failed, to_string(address));
        }
        m_thread = std::thread([this] { m_http.listen_after_bind(); });
        // stop() has no effect before the server runs.
        while (!m_http.is_running()) {
            std::this_thread::yield();
        }
    }

    ~server() {
        m_state.close();
        m_http.stop();
        m_thread.join();
    }

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    const endpoint& address() const {
        return m_address;
    }

private:
    void add_handlers() {
        using httplib::Request;
        using httplib::Response;
        m_http.set_post_routing_handler(
            [this](const Request&, Response& response) { response.set_header("Era", std::to_string(m_state.era())); });
        const std::string key_pattern = R"(/v1/kv/([A-Za-z0-9._/-]{1,256}))";
        const std::string lease_pattern = R"(/v1/lease/([A-Za-z0-9._/-]{1,256}))";
        m_http.Get(key_pattern, [this](const Request& request, Response& response) { read(request, response); });
        m_http.Put(key_pattern, [this](const Request& request, Response& response) { write(request, response); });
        m_http.Post(lease_pattern, [this](const Request& request, Response& response) { acquire(request, response); });
        m_http.Put(lease_pattern, [this](const Request& request, Response& response) { renew(request, response); });
        m_http.Delete(lease_pattern,
                      [this](const Request& request, Response& response) { release(request, response); });
        m_http.Get("/v1/faults", [this](const Request&, Response& response) {
            response.set_content(boost::json::serialize(to_json(m_state.faults())), "application/json");
        });
        m_http.Put("/v1/faults", [this](const Request& request, Response& response) { set_faults(request, response); });
        m_http.Post("/v1/copy", [this](const Request&, Response& response) {
            m_state.make_copy();
            response.status = 204;
        });
        m_http.Post("/v1/restore", [this](const Request&, Response& response) {
            m_state.restore_copy();
            response.status = 204;
        });
        m_http.Get("/v1/counts", [this](const Request&, Response& response) {
            response.set_content(boost::json::serialize(to_json(m_state.counts())), "application/json");
        });
        m_http.Delete("/v1/counts", [this](const Request&, Response& response) {
            m_state.reset_counts();
            response.status = 204;
        });
    }

    template <typename Value> bool respond_failure(const store_result<Value>& result, httplib::Response& response) {
        switch (result.outcome) {
        case store_outcome::ok:
            return false;
        case store_outcome::conflict:
            respond_error(response, 409, "conflict");
            return true;
        case store_outcome::absent:
            respond_error(response, 404, "absent");
            return true;
        case store_outcome::unchanged:
            response.status = 204;
            return true;
        case store_outcome::unavailable:
            if (m_state.faults().closes_connections) {
                abort_response(response);
            } else {
                respond_error(response, 503, "unavailable");
            }
            return true;
        case store_outcome::unknown:
            abort_response(response);
            return true;
        }
        return true;
    }

    void read(const httplib::Request& request, httplib::Response& response) {
        store_result<versioned_value> result;
        if (request.has_param("after")) {
            const auto after = parse_number(request.get_param_value("after"));
            const auto wait_ms = parse_number(request.get_param_value("wait_ms"));
            if (!after || !wait_ms || *wait_ms > 600'000) {
                respond_error(response, 400, "after and wait_ms must be numbers, wait_ms at most 600000");
                return;
            }
            result = m_state.watch(request.matches[1], *after, absl::Milliseconds(*wait_ms));
        } else {
            result = m_state.get(request.matches[1], server_deadline);
        }
        if (!respond_failure(result, response)) {
            response.set_header("Revision", std::to_string(result.value->key_revision));
            response.set_content(result.value->value, "application/octet-stream");
        }
    }

    void write(const httplib::Request& request, httplib::Response& response) {
        const auto expected = parse_number(request.get_header_value("Expected-Revision"));
        if (!expected) {
            respond_error(response, 400, "header Expected-Revision must be a number");
            return;
        }
        const auto result = m_state.compare_and_swap(request.matches[1], *expected, request.body, server_deadline);
        if (!respond_failure(result, response)) {
            response.set_header("Revision", std::to_string(*result.value));
        }
    }

    void acquire(const httplib::Request& request, httplib::Response& response) {
        const std::string holder = request.get_header_value("Lease-Holder");
        const auto ttl_ms = parse_number(request.get_header_value("Lease-Ttl-Ms"));
        if (holder.empty() || !ttl_ms) {
            respond_error(response, 400, "headers Lease-Holder and Lease-Ttl-Ms are required");
            return;
        }
        respond_lease(m_state.acquire_lease(request.matches[1], holder, absl::Milliseconds(*ttl_ms), server_deadline),
                      response);
    }

    void renew(const httplib::Request& request, httplib::Response& response) {
        if (const auto held = parse_lease(request, response)) {
            respond_lease(m_state.renew_lease(*held, server_deadline), response);
        }
    }

    void release(const httplib::Request& request, httplib::Response& response) {
        if (const auto held = parse_lease(request, response)) {
            respond_failure(m_state.release_lease(*held, server_deadline), response);
        }
    }

    void respond_lease(const store_result<lease>& result, httplib::Response& response) {
        if (!respond_failure(result, response)) {
            response.set_header("Lease-Id", std::to_string(result.value->id));
        }
    }

    static std::optional<lease> parse_lease(const httplib::Request& request, httplib::Response& response) {
        const auto id = parse_number(request.get_header_value("Lease-Id"));
        const auto ttl_ms = parse_number(request.get_header_value("Lease-Ttl-Ms"));
        if (!id || !ttl_ms) {
            respond_error(response, 400, "headers Lease-Id and Lease-Ttl-Ms are required");
            return std::nullopt;
        }
        return lease{request.matches[1], "", *id, absl::Milliseconds(*ttl_ms)};
    }

    void set_faults(const httplib::Request& request, httplib::Response& response) {
        try {
            m_state.set_faults(faults_from_json(boost::json::parse(request.body)));
            response.status = 204;
        } catch (const std::exception& problem) {
            respond_error(response, 400, problem.what());
        }
    }

    store_stand_in_state& m_state;
    endpoint m_address;
    httplib::Server m_http;
    std::thread m_thread;
};

store_stand_in::store_stand_in(store_stand_in_state& state, const endpoint& address, std::size_t threads)
    : m_server(std::make_unique<server>(state, address, threads)) {}

store_stand_in::~store_stand_in() = default;

const endpoint& store_stand_in::address() const {
    return m_server->address();
}

} // namespace amaranthladder
