#pragma once

#include "http/private/proxy_core.h"
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
    entry_call(proxy_core& core, served_request& request);

    /// Serves the request to its end. The prefix of its body has been read.
    asio::awaitable<serve_result> serve();

    /// Ends the present attempt if the owner is out of reach; another one may follow.
    void give_up_if_unreachable(absl::Time now);

    /// Ends the call because its caller has left.
    void abandon();

private:
    /// How one attempt ended. `result` is set if the caller has been answered or has left.
    struct attempt_end {
        attempt_outcome outcome = attempt_outcome::cancelled;
        result_code code = result_code::ok;
        execution request_execution = execution::not_run;
        absl::Duration latency;
        std::optional<owner_report> report;
        absl::Duration backlog;  ///< Wait for a slot there, as the owner reported with its refusal.
        bool has_reached = true; ///< False: the upstream certainly saw nothing.
        std::optional<serve_result> result;
    };

    asio::awaitable<serve_result> serve_route(const route& target);
    asio::awaitable<attempt_end> attempt(const route& target, const routing_decision& decision);
    asio::awaitable<attempt_end> attempt_here(const route& target, const routing_decision& decision);
    asio::awaitable<attempt_end> attempt_at_owner(const route& target, const routing_decision& decision);
    asio::awaitable<attempt_end> take_owner_refusal(class exchange& sent);
    const std::string& choose_service(const route& target);
    void set_retry_after(result_code code);
    void set_target(const route& target);
    /// @return true if an upstream's failed answer may be replaced by another attempt.
    bool may_replace_answer(const route& target, unsigned status);
    static attempt_end replaced_answer(absl::Duration latency, std::optional<owner_report> report);
    asio::awaitable<serve_result> refuse_after(const attempt_end& last, std::string detail);
    asio::awaitable<serve_result> refuse(result_code code, execution request_execution, std::string detail);
    attempt_end end_of(const exchange_start& started) const;
    attempt_end end_of(const relay_result& relayed, unsigned status) const;
    bool is_idempotent(const route& target) const;
    absl::Time deadline_of(const route& target) const;
    bool may_retry(const route& target, const attempt_end& ended, int attempts);
    void log_decision(const routing_decision& decision, int attempt_number) const;
    void log_end(const routing_decision& decision, const attempt_end& ended) const;

    proxy_core& m_core;
    served_request& m_request;
    std::string m_remote_upstream;            ///< Where the present attempt waits for an owner.
    std::string m_service;                    ///< The route's service, or the one chosen out of its split.
    std::optional<result_code> m_run_failure; ///< How an attempt that may have run ended.
    int m_sends = 0;                          ///< Attempts that may have reached an upstream.
    absl::Time m_deadline;
    absl::Time m_target = absl::InfiniteFuture(); ///< Until when the answer is worth most to the caller.
    absl::Duration m_shortest_backlog = absl::InfiniteDuration(); ///< Of the owners that refused.
    std::function<void()> m_abandon_attempt;
    bool m_is_abandoned = false;
};

} // namespace amaranthladder
