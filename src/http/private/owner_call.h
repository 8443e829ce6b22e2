#pragma once

#include "http/private/exchange.h"
#include "http/private/proxy_state.h"
#include "http/private/served_request.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranthladder {

/// One request at an upstream beside this daemon: waits for a slot, sends the request and passes the answer on.
class owner_call {
public:
    /// @param proxy what all requests share.
    /// @param upstream the upstream; its gate is kept alive by the call.
    /// @param request the request.
    /// @param route name of its route.
    /// @param is_idempotent true if it may run twice.
    /// @param deadline when it must have been answered.
    owner_call(proxy_state& proxy, const local_upstream& upstream, served_request& request, std::string route,
               bool is_idempotent, absl::Time deadline);

    /// Waits for a slot, sends the request and reads the header of the answer.
    /// @return ok, or why there is no answer and whether the request may have run. Nothing has been sent to the caller.
    asio::awaitable<exchange_status> start();

    /// Passes the answer on to the caller, after start() returned ok.
    asio::awaitable<relay_result> relay_response();

    /// @return the HTTP status of the answer, after start() returned ok.
    unsigned status() {
        return m_exchange.response().get().result_int();
    }

    /// @return from the grant of the slot to the header of the answer.
    absl::Duration latency() const {
        return m_latency;
    }

    /// @return true if the upstream may have seen the request.
    bool has_reached_upstream() const {
        return m_exchange.may_have_sent();
    }

    /// @return what the entry is told of the upstream.
    owner_report report() const;

    /// @return how long a further request would wait for a slot.
    absl::Duration backlog() const {
        return m_semaphore->limiter().backlog();
    }

    /// Drops the answer, after start() returned ok: another attempt replaces it.
    asio::awaitable<void> discard_response();

    /// Ends the call because its caller has left.
    void cancel();

private:
    asio::awaitable<exchange_status> send_request();
    http::request_header<> make_request_header() const;
    asio::awaitable<exchange_status> check_response(const exchange::request& outgoing);
    asio::awaitable<exchange_status> handle_upstream_refusal();
    bool has_field(const std::string& name);
    absl::Duration first_byte_timeout() const;
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
    absl::Time m_started_at;
    absl::Duration m_latency;
    bool m_is_cancelled = false;
};

} // namespace amaranthladder
