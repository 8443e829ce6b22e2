#include "common/token_bucket.h"

#include <algorithm>

namespace amaranthladder {

namespace {

// Many small refills can add up to slightly less than 1; without a tolerance, the attempt would be one step late.
constexpr double tolerance = 1e-6;

} // namespace

token_bucket::token_bucket(double capacity, absl::Duration refill_interval, absl::Time now,
                           std::optional<double> initial)
    : m_capacity(capacity), m_refill_interval(refill_interval), m_tokens(initial.value_or(capacity)), m_updated(now) {}

bool token_bucket::try_take(absl::Time now) {
    m_tokens = tokens(now);
    m_updated = std::max(m_updated, now);
    if (m_tokens < 1.0 - tolerance) {
        return false;
    }
    m_tokens = std::max(m_tokens - 1.0, 0.0);
    return true;
}

void token_bucket::take(absl::Time now) {
    m_tokens = tokens(now) - 1.0;
    m_updated = std::max(m_updated, now);
}

absl::Time token_bucket::available_at(absl::Time now, double count) const {
    const double missing = count - tokens(now);
    return missing <= tolerance ? now : now + m_refill_interval * missing;
}

double token_bucket::tokens(absl::Time now) const {
    const absl::Duration elapsed = std::max(now - m_updated, absl::ZeroDuration());
    return std::min(m_capacity, m_tokens + absl::FDivDuration(elapsed, m_refill_interval));
}

} // namespace amaranthladder
