#include "store/http_store.h"

#include "common/parse_number.h"
#include "store/call_counter.h"
#include "store/store_connection_pool.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace amaranthladder {

namespace {

// Time that the store may take to respond to a watch after its wait has ended. With a margin inside a short wait, a
// pause of this process of the same length made an unchanged key a timeout.
constexpr absl::Duration watch_response_margin = absl::Milliseconds(500);

constexpr const char* era_header = "Era";

std::optional<std::uint64_t> read_number(const store_http_response& reply, const char* header) {
    return parse_number<std::uint64_t>(reply.header(header));
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
store_result<versioned_value> to_value(call_result received, store_era& era) {
    versioned_value value;
    const std::uint64_t answered_in = era.observe(received.response.header(era_header));
    if (received.outcome != store_outcome::ok) {
        return {received.outcome, {}};
    }
    const std::optional<std::uint64_t> number = read_number(received.response, "Revision");
    if (!number) {
        return {store_outcome::unavailable, {}};
    }
    value.key_revision = make_revision(answered_in, *number);
    value.value = std::move(received.response.body);
    return {store_outcome::ok, std::move(value)};
}

// Like a revision, the id of a lease contains the era: its number may be given out again.
store_result<lease> to_lease(const call_result& received, lease held, store_era& era) {
    const std::uint64_t answered_in = era.observe(received.response.header(era_header));
    if (received.outcome != store_outcome::ok) {
        return {received.outcome, {}};
    }
    const std::optional<std::uint64_t> number = read_number(received.response, "Lease-Id");
    if (!number) {
        return {store_outcome::unknown, {}};
    }
    const bool is_renewal = held.id != 0;
    if (is_renewal && era_of(held.id) != answered_in) {
        return {store_outcome::absent, {}};
    }
    held.id = make_revision(answered_in, *number);
    return {store_outcome::ok, std::move(held)};
}

} // namespace

http_store::http_store(endpoint address, call_counter& counter)
    : m_connections(std::make_unique<store_connection_pool>(std::move(address))), m_counter(counter) {}

http_store::~http_store() = default;

store_result<versioned_value> http_store::get(const std::string& key, absl::Duration deadline) {
    return to_value(
        call(*m_connections, m_counter, make_request(store_call_kind::get, "GET", "/v1/kv/" + key), deadline), m_era);
}

store_result<revision> http_store::compare_and_swap(const std::string& key, revision expected, const std::string& value,
                                                    absl::Duration deadline) {
    if (expected != 0 && era_of(expected) < m_era.value()) {
        return {store_outcome::conflict, {}};
    }
    store_http_request request = make_request(store_call_kind::compare_and_swap, "PUT", "/v1/kv/" + key);
    request.headers = {{"Expected-Revision", std::to_string(number_of(expected))},
                       {"Content-Type", "application/octet-stream"}};
    request.body = value;
    const call_result received = call(*m_connections, m_counter, request, deadline);
    const std::uint64_t answered_in = m_era.observe(received.response.header(era_header));
    if (received.outcome != store_outcome::ok) {
        return {received.outcome, {}};
    }
    const std::optional<std::uint64_t> written = read_number(received.response, "Revision");
    // A write that met a revision of another era has replaced a value that its caller has not read.
    const bool is_other_era = expected != 0 && answered_in != era_of(expected);
    if (!written || is_other_era) {
        return {store_outcome::unknown, {}};
    }
    return {store_outcome::ok, make_revision(answered_in, *written)};
}

store_result<lease> http_store::acquire_lease(const std::string& key, const std::string& holder, absl::Duration ttl,
                                              absl::Duration deadline) {
    store_http_request request = make_lease_request(store_call_kind::acquire_lease, "POST", key, ttl);
    request.headers.emplace_back("Lease-Holder", holder);
    return to_lease(call(*m_connections, m_counter, request, deadline), {key, holder, 0, ttl}, m_era);
}

store_result<lease> http_store::renew_lease(const lease& held, absl::Duration deadline) {
    if (era_of(held.id) < m_era.value()) {
        return {store_outcome::absent, {}};
    }
    store_http_request request = make_lease_request(store_call_kind::renew_lease, "PUT", held.key, held.ttl);
    request.headers.emplace_back("Lease-Id", std::to_string(number_of(held.id)));
    return to_lease(call(*m_connections, m_counter, request, deadline), held, m_era);
}

store_result<revision> http_store::release_lease(const lease& held, absl::Duration deadline) {
    if (era_of(held.id) < m_era.value()) {
        return {store_outcome::absent, {}};
    }
    store_http_request request = make_lease_request(store_call_kind::release_lease, "DELETE", held.key, held.ttl);
    request.headers.emplace_back("Lease-Id", std::to_string(number_of(held.id)));
    const call_result received = call(*m_connections, m_counter, request, deadline);
    return {received.outcome, received.outcome == store_outcome::ok ? std::optional<revision>(0) : std::nullopt};
}

store_result<versioned_value> http_store::watch(const std::string& key, revision after, absl::Duration deadline) {
    if (after != 0 && era_of(after) < m_era.value()) {
        return get(key, deadline);
    }
    const std::string path =
        fmt::format("/v1/kv/{}?after={}&wait_ms={}", key, number_of(after), absl::ToInt64Milliseconds(deadline));
    return to_value(call(*m_connections, m_counter, make_request(store_call_kind::watch, "GET", path),
                         deadline + watch_response_margin),
                    m_era);
}

void http_store::close() {
    m_connections->close();
}

} // namespace amaranthladder
