#pragma once

#include "http/private/proxy_state.h"
#include "http/private/served_request.h"
#include "routing/attempt_outcome.h"
#include "routing/routing_decision.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace amaranthladder {

/// Serves one request of a caller: finds its route, chooses an upstream, and retries where that is safe.
class entry_call {
public:
    entry_call(proxy_state& proxy, served_request& request);

    /// Serves the request. The prefix of its body must have been read.
    asio::awaitable<serve_result> serve();

    /// Cancels the current attempt if its owner is unreachable and the budget allows a retry.
    void cancel_attempt_if_unreachable(absl::Time now);

    /// Cancels the call because its caller has disconnected.
    void cancel();

private:
    /// Result of one attempt. `result` is set if a response to the caller has begun.
    struct attempt_result {
        attempt_outcome outcome = attempt_outcome::cancelled;
        result_code code = result_code::ok;
        execution request_execution = execution::not_run;
        absl::Duration latency;
        std::optional<owner_report> report;
        absl::Duration backlog;                      ///< Expected wait for a slot, as reported with the refusal.
        bool may_have_reached_upstream = true;       ///< False if the upstream cannot have received anything.
        std::optional<std::uint64_t> response_bytes; ///< Declared size of the body of a relayed response.
        std::optional<serve_result> result;
    };

    /// @return the request for admission control; only routes with a target latency take part in it.
    std::optional<shortage_request> make_shortage_request(const route& matched_route) const;
    /// @return true if the request must be refused at once, since its service is short.
    bool must_shed(const route& matched_route);
    /// Tells admission control about the end of an attempt.
    /// @return true if no further attempt is made, since the request has been held long in a shortage.
    bool observe_shortage(const route& matched_route, const routing_decision& decision, const attempt_result& ended);
    void observe_refusal(const route& matched_route, const attempt_result& ended);
    asio::awaitable<serve_result> serve_route(const route& matched_route);
    asio::awaitable<attempt_result> attempt(const route& matched_route, const routing_decision& decision);
    asio::awaitable<attempt_result> attempt_locally(const route& matched_route, const routing_decision& decision);
    asio::awaitable<attempt_result> attempt_at_owner(const route& matched_route, const routing_decision& decision);
    /// @return true if the owner must have agreed to take the body before it is sent.
    bool must_ask_before_body(const route& matched_route) const;
    asio::awaitable<attempt_result> handle_owner_refusal(class exchange& owner_exchange);
    /// Decides with the newest configuration whether the request may use its route, and sets its tenant and priority.
    /// @param is_waiting false for the first decision about the request.
    bool identify(const route& matched_route, bool is_waiting);
    asio::awaitable<result_code> acquire_quota_token();
    void record_transfer(const route& matched_route, const routing_decision& decision, const attempt_result& ended);
    const std::string& choose_service(const route& matched_route);
    void observe_leaving(const std::string& upstream_id, const std::optional<owner_report>& report);
    void set_retry_after(result_code code);
    void set_target_time(const route& matched_route);
    /// @return true if a failed response of an upstream may be replaced by another attempt.
    bool may_replace_response(const route& matched_route, unsigned status);
    static attempt_result withdrawn_key_result();
    static attempt_result make_replaced_result(absl::Duration latency, std::optional<owner_report> report);
    asio::awaitable<serve_result> refuse_after_attempt(const attempt_result& last, std::string detail);
    asio::awaitable<serve_result> refuse(result_code code, execution request_execution, std::string detail);
    attempt_result make_attempt_result(const exchange_status& started) const;
    attempt_result make_attempt_result(const relay_result& relayed, unsigned status) const;
    bool is_idempotent(const route& matched_route) const;
    absl::Time deadline_of(const route& matched_route) const;
    bool may_retry(const route& matched_route, const attempt_result& ended, int attempts);
    void log_decision(const routing_decision& decision, int attempt_number) const;
    void log_attempt_result(const routing_decision& decision, const attempt_result& ended) const;

    proxy_state& m_proxy;
    served_request& m_request;
    std::string m_remote_upstream;                  ///< Upstream of the current attempt if another daemon owns it.
    std::string m_service;                          ///< The route's service, or the one chosen by weight.
    std::optional<result_code> m_may_have_run_code; ///< Code of an earlier attempt that may have run.
    int m_attempts_sent = 0;                        ///< Number of attempts that may have reached an upstream.
    absl::Time m_deadline;
    absl::Time m_target_time = absl::InfiniteFuture();            ///< Time by which the response is wanted.
    absl::Duration m_shortest_backlog = absl::InfiniteDuration(); ///< Of all refusals due to load.
    absl::Time m_quota_token_expires = absl::InfinitePast();      ///< Of the tenant's token that the request holds.
    bool m_has_returned = false; ///< The caller's remaining time shows that the request was refused before.
    std::function<void()> m_cancel_attempt;
    bool m_is_cancelled = false;
};

} // namespace amaranthladder
