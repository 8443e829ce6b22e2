#pragma once

#include "routing/attempt_outcome.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace amaranthladder {

class retry_budget;

/// Parameters of retry_policy; docs/routing.md gives the reasons.
struct retry_limits {
    int max_attempts = 3;                                 ///< Attempts per caller request, including the first.
    absl::Duration min_remaining = absl::Milliseconds(2); ///< With less time left, there is no retry.
};

/// A failed attempt of a request, with what decides about its retry.
struct failed_attempt {
    std::string service;
    std::string_view method;
    bool route_is_idempotent = false; ///< The configuration declares the route idempotent.
    attempt_outcome outcome = attempt_outcome::sent_no_answer;
    bool body_is_replayable = true; ///< False: part of the request body was consumed and not buffered.
    absl::Time deadline = absl::InfiniteFuture();
    int attempts = 1;     ///< Attempts made so far, at least 1.
    int max_attempts = 0; ///< Limit of the route; 0: that of the policy.
    /// False: the upstream certainly received nothing, so a retry adds no load and is not counted in the budget.
    bool may_have_reached_upstream = true;
};

/// Why a retry was allowed or not.
enum class retry_reason {
    not_run,           ///< Allowed: the upstream has not received the request.
    idempotent,        ///< Allowed: the request is idempotent.
    not_idempotent,    ///< The request may have run and is not idempotent.
    answer_began,      ///< A response arrived, at least in part.
    body_consumed,     ///< The request body cannot be sent again.
    too_many_attempts, ///< The maximum number of attempts is reached.
    deadline,          ///< Too little time is left.
    budget,            ///< The retry budget is exhausted.
    cancelled,         ///< The caller has disconnected or its deadline has passed.
};

/// @return the name of @p value in logs.
std::string_view name(retry_reason value);

/// Result of retry_policy::decide.
struct retry_decision {
    bool is_allowed = false;
    retry_reason reason = retry_reason::not_idempotent;
};

/// Decides whether a failed attempt is retried at another upstream.
class retry_policy {
public:
    explicit retry_policy(retry_limits limits = {});

    /// @param attempt the failed attempt.
    /// @param budget a retry is taken from it only if the retry is allowed and may add load.
    /// @param now current time.
    retry_decision decide(const failed_attempt& attempt, retry_budget& budget, absl::Time now) const;

    /// @return true if RFC 9110 defines @p method as idempotent.
    static bool is_idempotent_method(std::string_view method);

private:
    retry_reason reason_ignoring_budget(const failed_attempt& attempt, absl::Time now) const;

    retry_limits m_limits;
};

} // namespace amaranthladder
