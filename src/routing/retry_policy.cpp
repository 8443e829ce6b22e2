#include "routing/retry_policy.h"

#include "routing/retry_budget.h"

#include <algorithm>
#include <array>

namespace amaranthladder {

std::string_view name(retry_reason value) {
    switch (value) {
    case retry_reason::not_run:
        return "not-run";
    case retry_reason::idempotent:
        return "idempotent";
    case retry_reason::not_idempotent:
        return "not-idempotent";
    case retry_reason::answer_began:
        return "answer-began";
    case retry_reason::body_consumed:
        return "body-consumed";
    case retry_reason::too_many_attempts:
        return "too-many-attempts";
    case retry_reason::deadline:
        return "deadline";
    case retry_reason::budget:
        return "budget";
    case retry_reason::cancelled:
        return "cancelled";
    }
    return "unknown";
}

retry_policy::retry_policy(retry_limits limits) : m_limits(limits) {}

retry_decision retry_policy::decide(const failed_attempt& attempt, retry_budget& budget, absl::Time now) const {
    const retry_reason reason = reason_ignoring_budget(attempt, now);
    if (reason != retry_reason::not_run && reason != retry_reason::idempotent) {
        return {false, reason};
    }
    if (attempt.may_have_reached_upstream && !budget.try_spend(attempt.service, now)) {
        return {false, retry_reason::budget};
    }
    return {true, reason};
}

bool retry_policy::is_idempotent_method(std::string_view method) {
    static constexpr std::array<std::string_view, 6> methods{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
    return std::ranges::find(methods, method) != methods.end();
}

retry_reason retry_policy::reason_ignoring_budget(const failed_attempt& attempt, absl::Time now) const {
    if (attempt.outcome == attempt_outcome::cancelled) {
        return retry_reason::cancelled;
    }
    if (!is_not_run(attempt.outcome) && attempt.outcome != attempt_outcome::sent_no_answer) {
        return retry_reason::answer_began;
    }
    const bool is_idempotent = attempt.route_is_idempotent || is_idempotent_method(attempt.method);
    if (!is_not_run(attempt.outcome) && !is_idempotent) {
        return retry_reason::not_idempotent;
    }
    if (!attempt.body_is_replayable) {
        return retry_reason::body_consumed;
    }
    if (attempt.attempts >= (attempt.max_attempts > 0 ? attempt.max_attempts : m_limits.max_attempts)) {
        return retry_reason::too_many_attempts;
    }
    if (now + m_limits.min_remaining > attempt.deadline) {
        return retry_reason::deadline;
    }
    return is_not_run(attempt.outcome) ? retry_reason::not_run : retry_reason::idempotent;
}

} // namespace amaranthladder
