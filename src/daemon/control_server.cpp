#include "daemon/control_server.h"

#include "common/error.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include <thread>
#include <utility>

namespace amaranthladder {

namespace {

/// Maximum of concurrent connections: the upstreams beside the daemon, operators and a metrics collector.
constexpr std::size_t control_threads = 16;
constexpr auto read_timeout = std::chrono::seconds(5);
constexpr auto keep_alive_timeout_s = 5;
constexpr std::size_t max_requests_per_connection = 10'000;

std::string error_body(result_code code, const std::string& detail) {
    boost::json::object body;
    body["code"] = static_cast<int>(code);
    body["name"] = std::string(name(code));
    body["text"] = std::string(describe(code).text);
    body["detail"] = detail;
    return boost::json::serialize(body) + "\n";
}

void answer_error(httplib::Response& response, result_code code, const std::string& detail) {
    const int status = describe(code).http_status;
    response.status = status == 0 ? 500 : status;
    response.set_content(error_body(code, detail), "application/json");
}

/// Answers with the result of @p handler, or with an error response if it throws.
template <typename Handler> void answer(httplib::Response& response, const char* type, const Handler& handler) {
    try {
        response.set_content(handler(), type);
    } catch (const error& problem) {
        answer_error(response, problem.code(), problem.what());
    } catch (const std::exception& problem) {
        answer_error(response, result_code::internal_error, problem.what());
    }
}

} // namespace

class control_server::implementation {
public:
    implementation(const endpoint& address, control_handlers handlers)
        : m_handlers(std::move(handlers)), m_address(address) {
        configure();
        add_routes();
        bind();
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~implementation() {
        m_server.stop();
        m_thread.join();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    const endpoint& address() const {
        return m_address;
    }

private:
    void configure() {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(control_threads); };
        m_server.set_tcp_nodelay(true);
        m_server.set_read_timeout(read_timeout);
        m_server.set_write_timeout(read_timeout);
        m_server.set_keep_alive_timeout(keep_alive_timeout_s);
        m_server.set_keep_alive_max_count(max_requests_per_connection);
        m_server.set_payload_max_length(max_announcement_bytes);
        m_server.set_error_handler([](const httplib::Request& /*request*/, httplib::Response& response) {
            if (response.body.empty()) {
                const bool is_too_large = response.status == 413;
                const int status = response.status;
                response.set_content(
                    error_body(is_too_large ? result_code::message_too_large : result_code::request_malformed,
                               fmt::format("HTTP status {}", status)),
                    "application/json");
            }
        });
    }

    void add_routes() {
        m_server.Put("/v1/upstream", [this](const httplib::Request& request, httplib::Response& response) {
            answer(response, "application/json", [&] {
                m_handlers.announce(parse_announcement(request.body));
                return std::string("{\"code\":0}\n");
            });
        });
        m_server.Get("/v1/status", [this](const httplib::Request& /*request*/, httplib::Response& response) {
            answer(response, "application/json", [&] { return m_handlers.status(); });
        });
        m_server.Get("/v1/explain", [this](const httplib::Request& request, httplib::Response& response) {
            answer(response, "application/json", [&] { return explain(request); });
        });
        m_server.Get("/metrics", [this](const httplib::Request& /*request*/, httplib::Response& response) {
            answer(response, "text/plain; version=0.0.4", [&] { return m_handlers.metrics(); });
        });
    }

    std::string explain(const httplib::Request& request) const {
        if (request.has_param("request")) {
            return m_handlers.explain_request(request.get_param_value("request"));
        }
        if (request.has_param("route")) {
            return m_handlers.explain_route(request.get_param_value("route"));
        }
        if (request.has_param("move")) {
            return m_handlers.explain_move(request.get_param_value("move"));
        }
        throw error(result_code::request_malformed, "one of the parameters request, route and move is required");
    }

    void bind() {
        bool is_bound = false;
        if (m_address.port == 0) {
            const int port = m_server.bind_to_any_port(m_address.address);
            is_bound = port > 0;
            m_address.port = static_cast<std::uint16_t>(port);
        } else {
            is_bound = m_server.bind_to_port(m_address.address, m_address.port);
        }
        if (!is_bound) {
            throw error(result_code::listen_failed, to_string(m_address));
        }
    }

    control_handlers m_handlers;
    endpoint m_address;
    httplib::Server m_server;
    std::thread m_thread;
};

control_server::control_server(const endpoint& address, control_handlers handlers)
    : m_implementation(std::make_unique<implementation>(address, std::move(handlers))) {}

control_server::~control_server() = default;

const endpoint& control_server::address() const {
    return m_implementation->address();
}

} // namespace amaranthladder
