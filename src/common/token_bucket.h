#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// A token bucket that bounds the rate of attempts over any period, whatever the backoff does.
class token_bucket {
public:
    /// @param capacity attempts that may follow each other at once; the bucket starts full.
    /// @param refill_interval time in which one attempt is added, above zero.
    /// @param now the present time.
    token_bucket(double capacity, absl::Duration refill_interval, absl::Time now);

    /// Takes one attempt from the bucket.
    /// @param now the present time; an earlier time than in the last call adds nothing.
    /// @return false if the bucket has none.
    bool try_take(absl::Time now);

    /// @param now the present time.
    /// @return when try_take() succeeds next, @p now if at once.
    absl::Time available_at(absl::Time now) const;

private:
    double tokens(absl::Time now) const;

    double m_capacity;
    absl::Duration m_refill_interval;
    double m_tokens;
    absl::Time m_updated;
};

} // namespace amaranthladder
