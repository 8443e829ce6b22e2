#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Limits the rate of attempts over any period with a token bucket, independently of the backoff between attempts.
class token_bucket {
public:
    /// @param capacity largest burst, in attempts; the bucket starts full.
    /// @param refill_interval time in which one token is added, above zero.
    /// @param now the current time.
    token_bucket(double capacity, absl::Duration refill_interval, absl::Time now);

    /// Takes one token from the bucket.
    /// @param now the current time; a time before that of the previous call adds no tokens.
    /// @return false if the bucket holds less than one token.
    bool try_take(absl::Time now);

    /// @param now the current time.
    /// @return the time at which try_take() next succeeds, @p now if it succeeds immediately.
    absl::Time available_at(absl::Time now) const;

private:
    double tokens(absl::Time now) const;

    double m_capacity;
    absl::Duration m_refill_interval;
    double m_tokens;
    absl::Time m_updated;
};

} // namespace amaranthladder
