#pragma once

#include "routing/attempt_outcome.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace amaranthladder {

class retry_budget;

/// Constants of retry_policy; docs/routing.md gives the reasons.
struct retry_limits {
    int max_attempts = 3;                                 ///< Attempts per caller request, the first included.
    absl::Duration min_remaining = absl::Milliseconds(2); ///< A retry with less time left is not worth making.
};

/// A failed attempt of a request.
struct failed_attempt {
    std::string service;
    std::string_view method;
    bool route_is_idempotent = false; ///< The route was declared idempotent in the configuration.
    attempt_outcome outcome = attempt_outcome::sent_no_answer;
    bool body_is_replayable = true; ///< False: part of the request's body was consumed and not kept.
    absl::Time deadline = absl::InfiniteFuture();
    int attempts = 1;     ///< Attempts made so far, at least 1.
    int max_attempts = 0; ///< The route's limit; 0: the policy's.
    bool may_have_reached_upstream =
        true; ///< False: the upstream certainly saw nothing, so another attempt adds no load there.
};

/// Why a retry was allowed or not.
enum class retry_reason {
    not_run,           ///< Allowed: the upstream has not seen the request.
    idempotent,        ///< Allowed: running the request twice has the effect of running it once.
    not_idempotent,    ///< The request may have run and must not run twice.
    answer_began,      ///< The outcome is an answer, or part of one.
    body_consumed,     ///< The request's body cannot be sent again.
    too_many_attempts, ///< The limit of attempts is reached.
    deadline,          ///< Too little time is left.
    budget,            ///< The retry budget is spent.
    cancelled,         ///< The caller is gone.
};

/// @return the stable name of @p value.
std::string_view name(retry_reason value);

/// Answer of retry_policy::decide.
struct retry_decision {
    bool is_allowed = false;
    retry_reason reason = retry_reason::not_idempotent;
};

/// Decides whether a failed attempt is made again at another upstream.
class retry_policy {
public:
    explicit retry_policy(retry_limits limits = {});

    /// @param attempt the failed attempt.
    /// @param budget one retry is taken out of it if, and only if, the retry is allowed.
    /// @param now the time.
    retry_decision decide(const failed_attempt& attempt, retry_budget& budget, absl::Time now) const;

    /// @return true if RFC 9110 defines @p method as idempotent.
    static bool is_idempotent_method(std::string_view method);

private:
    retry_reason reason_ignoring_budget(const failed_attempt& attempt, absl::Time now) const;

    retry_limits m_limits;
};

} // namespace amaranthladder
