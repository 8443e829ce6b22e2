#pragma once

#include "http/private/proxy_state.h"
#include "http/private/served_request.h"
#include "routing/attempt_outcome.h"
#include "routing/routing_decision.h"

#include <absl/time/time.h>

#include <functional>
#include <optional>

namespace amaranthladder {

/// One request of a caller at this daemon: finds its route, chooses an upstream, and tries again where that is safe.
class entry_call {
public:
    entry_call(proxy_state& proxy, served_request& request);

    /// Serves the request to its end. The prefix of its body has been read.
    asio::awaitable<serve_result> serve();

    /// Ends the present attempt if the owner is out of reach; another one may follow.
    void cancel_attempt_if_unreachable(absl::Time now);

    /// Ends the call because its caller has left.
    void cancel();

private:
    /// How one attempt ended. `result` is set if the caller has been answered or has left.
    struct attempt_result {
        attempt_outcome outcome = attempt_outcome::cancelled;
        result_code code = result_code::ok;
        execution request_execution = execution::not_run;
        absl::Duration latency;
        std::optional<owner_report> report;
        absl::Duration backlog;           ///< Wait for a slot there, as the owner reported with its refusal.
        bool has_reached_upstream = true; ///< False: the upstream certainly saw nothing.
        std::optional<serve_result> result;
    };

    asio::awaitable<serve_result> serve_route(const route& matched_route);
    asio::awaitable<attempt_result> attempt(const route& matched_route, const routing_decision& decision);
    asio::awaitable<attempt_result> attempt_locally(const route& matched_route, const routing_decision& decision);
    asio::awaitable<attempt_result> attempt_at_owner(const route& matched_route, const routing_decision& decision);
    asio::awaitable<attempt_result> handle_owner_refusal(class exchange& owner_exchange);
    const std::string& choose_service(const route& matched_route);
    void set_retry_after(result_code code);
    void set_target_time(const route& matched_route);
    /// @return true if an upstream's failed answer may be replaced by another attempt.
    bool may_replace_response(const route& matched_route, unsigned status);
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
    std::string m_remote_upstream;                  ///< Where the present attempt waits for an owner.
    std::string m_service;                          ///< The route's service, or the one chosen out of its split.
    std::optional<result_code> m_may_have_run_code; ///< How an attempt that may have run ended.
    int m_attempts_sent = 0;                        ///< Attempts that may have reached an upstream.
    absl::Time m_deadline;
    absl::Time m_target_time = absl::InfiniteFuture(); ///< Until when the answer is worth most to the caller.
    absl::Duration m_shortest_backlog = absl::InfiniteDuration(); ///< Of the owners that refused.
    std::function<void()> m_cancel_attempt;
    bool m_is_cancelled = false;
};

} // namespace amaranthladder
