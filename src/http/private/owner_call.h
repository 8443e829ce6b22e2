#pragma once

#include "http/private/exchange.h"
#include "http/private/proxy_state.h"
#include "http/private/served_request.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranthladder {

/// Serves one request at a local upstream: waits for a slot, sends the request and relays the response.
class owner_call {
public:
    /// @param proxy state shared by all requests.
    /// @param upstream the upstream; the call shares ownership of its semaphore.
    /// @param request the request.
    /// @param route name of its route.
    /// @param is_idempotent true if the request may run more than once.
    /// @param deadline time by which the request must be answered.
    owner_call(proxy_state& proxy, const local_upstream& upstream, served_request& request, std::string route,
               bool is_idempotent, absl::Time deadline);

    /// Waits for a slot, sends the request and reads the header of the response. Sends no response to the caller.
    /// @return ok, or why there is no response and whether the request may have run.
    asio::awaitable<exchange_status> start();

    /// Relays the response to the caller, after start() returned ok.
    asio::awaitable<relay_result> relay_response();

    /// @return the HTTP status of the response, after start() returned ok.
    unsigned status() {
        return m_exchange.response().get().result_int();
    }

    /// @return the declared size of the response's body, after start() returned ok; nothing if it declares none.
    std::optional<std::uint64_t> response_bytes() {
        const auto declared = m_exchange.response().content_length();
        return declared ? std::optional<std::uint64_t>(*declared) : std::nullopt;
    }

    /// @return time from the acquisition of the slot to the header of the response.
    absl::Duration latency() const {
        return m_latency;
    }

    /// @return true if the upstream may have received the request.
    bool may_have_reached_upstream() const {
        return m_exchange.may_have_sent();
    }

    /// @return the load and service times that are reported to the entry.
    owner_report report() const;

    /// @return expected wait of a new request for a slot.
    absl::Duration backlog() const {
        return m_semaphore->limiter().backlog(m_proxy.clock.now());
    }

    /// Discards the response, after start() returned ok, so that another attempt can replace it.
    asio::awaitable<void> discard_response();

    /// Cancels the call because its caller has disconnected.
    void cancel();

private:
    asio::awaitable<exchange_status> send_request();
    http::request_header<> make_request_header() const;
    asio::awaitable<exchange_status> check_response(const exchange::request& outgoing);
    asio::awaitable<exchange_status> handle_upstream_refusal();
    /// Records what the upstream says of itself in its response.
    /// @param is_complete false if the response may lack what other responses of the upstream contain.
    void observe_signals(bool is_complete);
    /// Marks the request if its route is one of nested calls.
    void detect_nested_call();
    void observe_server_load(local_upstream& known, const upstream_signals& signals, bool is_complete);
    /// Counts a refusal.
    /// @return true if it counts against the version of the upstream.
    bool is_version_refusal(result_code refusal);
    /// Records whether the connection to the upstream has failed.
    void observe_connection(result_code outcome);
    void log_admission(result_code granted, const slot_request& wanted);
    bool has_field(const std::string& name);
    /// @return true if the response is one to this request, as far as its id tells.
    bool is_own_response();
    /// @return true if the response says that the request did not run.
    bool says_not_run();
    /// @return true if the newest configuration refuses the request's key or its lack, and that on arrival did not.
    bool is_permission_withdrawn();
    bool is_permitted() const;
    /// @return true if the request may be sent again on a new connection. Spends a retry.
    bool may_resend();
    absl::Duration first_byte_timeout() const;
    /// @return latency of this call's route at local upstreams.
    first_byte_latency route_latency() const;
    void report_call(upstream_call_result::outcome outcome);

    proxy_state& m_proxy;
    upstream_record m_upstream;
    std::shared_ptr<slot_semaphore> m_semaphore;
    served_request& m_request;
    std::string m_route;
    bool m_is_idempotent;
    absl::Time m_deadline;
    request_id m_id;
    std::optional<slot_permit> m_permit;
    exchange m_exchange;
    bool m_was_permitted; ///< By the configuration at the time of arrival.
    absl::Time m_started_at;
    absl::Duration m_latency;
    bool m_is_cancelled = false;
};

} // namespace amaranthladder
