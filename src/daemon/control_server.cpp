#include "daemon/control_server.h"

#include "common/error.h"
#include "http/control_listener.h"

#include <boost/algorithm/hex.hpp>
#include <fmt/format.h>

#include <cctype>
#include <exception>
#include <iterator>
#include <utility>

namespace amaranthladder {

namespace {

constexpr const char* metrics_type = "text/plain; version=0.0.4";
/// `%` and two hexadecimal digits.
constexpr std::size_t escape_size = 3;

/// Decodes a value in a query, RFC 3986, section 2.1. Invalid escapes stay as they are.
std::string decode_value(std::string_view text) {
    std::string decoded;
    while (!text.empty()) {
        if (text.size() >= escape_size && text[0] == '%' && std::isxdigit(static_cast<unsigned char>(text[1])) != 0 &&
            std::isxdigit(static_cast<unsigned char>(text[2])) != 0) {
            boost::algorithm::unhex(text.substr(1, escape_size - 1), std::back_inserter(decoded));
            text.remove_prefix(escape_size);
        } else {
            decoded += text[0] == '+' ? ' ' : text[0];
            text.remove_prefix(1);
        }
    }
    return decoded;
}

control_reply not_found(const control_request& request) {
    control_reply reply =
        make_error_reply(result_code::request_malformed, fmt::format("{} {}", request.method, request.target));
    reply.status = 404;
    return reply;
}

} // namespace

class control_server::implementation {
public:
    implementation(const endpoint& address, control_handlers handlers)
        : m_handlers(std::move(handlers)),
          m_listener(address, [this](const control_request& request) { return answer(request); }) {}

    const endpoint& address() const {
        return m_listener.address();
    }

private:
    /// Answers with the result of the handler, or with an error response if it throws.
    control_reply answer(const control_request& request) const {
        try {
            return dispatch(request);
        } catch (const error& problem) {
            return make_error_reply(problem.code(), problem.what());
        } catch (const std::exception& problem) {
            return make_error_reply(result_code::internal_error, problem.what());
        }
    }

    control_reply dispatch(const control_request& request) const {
        const std::string_view target = request.target;
        const std::string_view path = target.substr(0, target.find('?'));
        if (request.method == "PUT" && path == "/v1/upstream") {
            m_handlers.announce(parse_announcement(request.body));
            return {200, "{\"code\":0}\n"};
        }
        if (request.method != "GET") {
            return not_found(request);
        }
        if (path == "/v1/status") {
            return {200, m_handlers.status()};
        }
        if (path == "/metrics") {
            return {200, m_handlers.metrics(), metrics_type};
        }
        if (path == "/v1/explain") {
            return {200, explain(target.substr(path.size()))};
        }
        return not_found(request);
    }

    /// @param query starts with a question mark; empty if there is none.
    std::string explain(std::string_view query) const {
        const std::string_view parameter = query.substr(0, query.find('&')).substr(query.empty() ? 0 : 1);
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        const std::string_view name = parameter.substr(0, equals);
        const std::string value = decode_value(parameter.substr(std::min(equals + 1, parameter.size())));
        if (name == "request") {
            return m_handlers.explain_request(value);
        }
        if (name == "route") {
            return m_handlers.explain_route(value);
        }
        if (name == "move") {
            return m_handlers.explain_move(value);
        }
        throw error(result_code::request_malformed, "one of the parameters request, route and move is required");
    }

    control_handlers m_handlers;
    control_listener m_listener;
};

control_server::control_server(const endpoint& address, control_handlers handlers)
    : m_implementation(std::make_unique<implementation>(address, std::move(handlers))) {}

control_server::~control_server() = default;

const endpoint& control_server::address() const {
    return m_implementation->address();
}

} // namespace amaranthladder
