#include "http/private/served_request.h"

#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

namespace amaranthladder {

namespace {

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr auto refusal_write_timeout = std::chrono::seconds(5);

std::string refusal_body(const served_request& request, result_code code, execution request_execution,
                         const std::string& detail) {
    boost::json::object body;
    body["code"] = static_cast<int>(code);
    body["name"] = std::string(name(code));
    body["execution"] = std::string(name(request_execution));
    body["text"] = std::string(describe(code).text);
    body["detail"] = detail;
    body["request_id"] = request.info.request_id;
    return boost::json::serialize(body) + "\n";
}

} // namespace

asio::awaitable<serve_result> write_refusal(served_request& request, result_code code, execution request_execution,
                                            std::string detail) {
    const auto status = static_cast<http::status>(describe(code).http_status);
    http::response<http::string_body> response(status, request.head.version());
    response.set(http::field::content_type, "application/json");
    response.set(beast_view(header::code), std::to_string(static_cast<int>(code)));
    response.set(beast_view(header::outcome), beast_view(name(request_execution)));
    response.set(beast_view(header::request_id), request.info.request_id);
    if (request.may_have_reached_upstream) {
        response.set(beast_view(header::reached_upstream), "1");
    }
    if (request.backlog) {
        response.set(beast_view(header::backlog_ms), std::to_string(absl::ToInt64Milliseconds(*request.backlog)));
    }
    if (request.report) {
        write_report(response, *request.report);
    }
    if (request.retry_after) {
        response.set(http::field::retry_after, fmt::format("{:.3f}", absl::ToDoubleSeconds(*request.retry_after)));
    }
    if (!request.challenge.empty()) {
        response.set(http::field::www_authenticate, request.challenge);
    }
    std::string body = refusal_body(request, code, request_execution, detail);
    response.content_length(body.size());
    if (!request.is_head_only()) {
        response.body() = std::move(body);
    }
    if (request.is_behind()) {
        co_await request.turn->wait();
    }
    response.keep_alive(request.decide_keep_alive());
    request.stream.expires_after(refusal_write_timeout);
    const auto [failure, bytes] = co_await http::async_write(request.stream, response, as_result);
    if (failure) {
        request.keeps_connection = false;
    }
    co_return serve_result{code, failure ? 0U : response.result_int()};
}

asio::awaitable<bool> write_continue(served_request& request, absl::Duration limit) {
    request.expects_continue = false;
    request.stream.expires_after(absl::ToChronoNanoseconds(limit));
    const auto [failure, bytes] = co_await asio::async_write(
        request.stream, asio::buffer(continue_response.data(), continue_response.size()), as_result);
    co_return !failure;
}

void reset_connection(metered_stream& stream) {
    error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.close();
}

} // namespace amaranthladder
