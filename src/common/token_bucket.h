#pragma once

#include <absl/time/time.h>

#include <optional>

namespace amaranthladder {

/// Limits the rate of attempts over any period with a token bucket, independently of the backoff between attempts.
class token_bucket {
public:
    /// @param capacity largest burst, in attempts.
    /// @param refill_interval time in which one token is added, above zero.
    /// @param now the current time.
    /// @param initial tokens at the start; below zero they are owed. Without a value the bucket starts full.
    token_bucket(double capacity, absl::Duration refill_interval, absl::Time now, std::optional<double> initial = {});

    /// Takes one token from the bucket.
    /// @param now the current time; a time before that of the previous call adds no tokens.
    /// @return false if the bucket holds less than one token.
    bool try_take(absl::Time now);

    /// Takes one token even if the bucket holds none, which is then owed.
    void take(absl::Time now);

    /// @param now the current time.
    /// @param count number of tokens wanted.
    /// @return the time at which the bucket holds them, or would if its capacity allowed it; @p now if it does already.
    absl::Time available_at(absl::Time now, double count = 1) const;

    /// @return number of tokens in the bucket; below zero if some are owed.
    double tokens(absl::Time now) const;

private:
    double m_capacity;
    absl::Duration m_refill_interval;
    double m_tokens;
    absl::Time m_updated;
};

} // namespace amaranthladder
