#include "store/http_store.h"

#include "store/call_counter.h"
#include "store/store_connection_pool.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace amaranthladder {

namespace {

// Time that the store may take to respond to a watch after its wait has ended. With a margin inside a short wait, a
// pause of this process of the same length made an unchanged key a timeout.
constexpr absl::Duration watch_response_margin = absl::Milliseconds(500);

bool read_number(const store_http_response& reply, const char* header, std::uint64_t& number) {
    const std::string text = reply.header(header);
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

struct call_result {
    store_outcome outcome = store_outcome::unavailable;
    store_http_response response;
};

store_http_request make_request(store_call_kind kind, const char* method, std::string path) {
    return {kind, method, std::move(path)};
}

store_http_request make_lease_request(store_call_kind kind, const char* method, const std::string& key,
                                      absl::Duration ttl) {
    return {kind, method, "/v1/lease/" + key, {{"Lease-Ttl-Ms", std::to_string(absl::ToInt64Milliseconds(ttl))}}};
}

call_result call(store_connection_pool& connections, call_counter& counter, const store_http_request& request,
                 absl::Duration deadline) {
    call_result result;
    const bool is_write = request.method != "GET";
    result.response = connections.call(request, deadline);
    if (result.response.status != 0) {
        result.outcome = outcome_of_status(result.response.status, is_write);
    } else if (is_write && result.response.may_have_arrived) {
        result.outcome = store_outcome::unknown;
    }
    counter.add(request.kind, result.outcome);
    return result;
}

// A response without the expected headers leaves the outcome of a write unknown.
store_result<versioned_value> to_value(call_result received) {
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

store_result<lease> to_lease(const call_result& received, lease held) {
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
    : m_connections(std::make_unique<store_connection_pool>(std::move(address))), m_counter(counter) {}

http_store::~http_store() = default;

store_result<versioned_value> http_store::get(const std::string& key, absl::Duration deadline) {
    return to_value(
        call(*m_connections, m_counter, make_request(store_call_kind::get, "GET", "/v1/kv/" + key), deadline));
}

store_result<revision> http_store::compare_and_swap(const std::string& key, revision expected, const std::string& value,
                                                    absl::Duration deadline) {
    store_http_request request = make_request(store_call_kind::compare_and_swap, "PUT", "/v1/kv/" + key);
    request.headers = {{"Expected-Revision", std::to_string(expected)}, {"Content-Type", "application/octet-stream"}};
    request.body = value;
    const call_result received = call(*m_connections, m_counter, request, deadline);
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
    store_http_request request = make_lease_request(store_call_kind::acquire_lease, "POST", key, ttl);
    request.headers.emplace_back("Lease-Holder", holder);
    return to_lease(call(*m_connections, m_counter, request, deadline), {key, holder, 0, ttl});
}

store_result<lease> http_store::renew_lease(const lease& held, absl::Duration deadline) {
    store_http_request request = make_lease_request(store_call_kind::renew_lease, "PUT", held.key, held.ttl);
    request.headers.emplace_back("Lease-Id", std::to_string(held.id));
    return to_lease(call(*m_connections, m_counter, request, deadline), held);
}

store_result<revision> http_store::release_lease(const lease& held, absl::Duration deadline) {
    store_http_request request = make_lease_request(store_call_kind::release_lease, "DELETE", held.key, held.ttl);
    request.headers.emplace_back("Lease-Id", std::to_string(held.id));
    const call_result received = call(*m_connections, m_counter, request, deadline);
    return {received.outcome, received.outcome == store_outcome::ok ? std::optional<revision>(0) : std::nullopt};
}

store_result<versioned_value> http_store::watch(const std::string& key, revision after, absl::Duration deadline) {
    const std::string path =
        fmt::format("/v1/kv/{}?after={}&wait_ms={}", key, after, absl::ToInt64Milliseconds(deadline));
    return to_value(call(*m_connections, m_counter, make_request(store_call_kind::watch, "GET", path),
                         deadline + watch_response_margin));
}

void http_store::close() {
    m_connections->close();
}

} // namespace amaranthladder
