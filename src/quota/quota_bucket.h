#pragma once

#include "quota/quota_limits.h"

#include <absl/time/time.h>

#include <cstdint>

namespace amaranthladder {

/// Token bucket of one tenant at one daemon. It fills at a fraction of the tenant's rate: that part of the fleet which
/// this daemon serves. The fraction falls at once and rises slowly, so that the fractions of two daemons that replace
/// each other do not add up to more than one.
class quota_bucket {
public:
    /// Rise of a fraction a second. The other daemon notices the loss of contact within reach_estimator::memory and
    /// answer_timeout, so its fraction falls faster than that.
    static constexpr double rise_per_second = 0.4;

    /// @param since time from which this daemon has been in charge alone; the bucket was empty then.
    quota_bucket(const quota_allowance& allowance, double initial_fraction, absl::Time since, absl::Time now);

    /// Adds the tokens since the last call.
    /// @param target fraction of the fleet that this daemon serves.
    void advance(double target, absl::Time now);

    /// @return the number of tokens taken, at most @p wanted.
    std::uint32_t take(std::uint32_t wanted);

    /// Takes a token from the reserve, which needs no fraction. @return 0 or 1.
    std::uint32_t take_reserve(absl::Time now);

    /// Changes the limits. A lower limit reduces what is in the bucket.
    void set_allowance(const quota_allowance& allowance);

    /// @return the time until the bucket will have given out @p count tokens more than it holds.
    absl::Duration time_until(double count) const;

    /// Another daemon has granted @p count tokens in place of this one.
    void subtract(double count);

    /// Takes the bucket of the daemon that was in charge and has ceased to grant, so the fraction need not rise slowly.
    void take_over(double fraction, double tokens, absl::Time now);

    /// Empties bucket and reserve, e.g. after a pause of this process.
    void clear(absl::Time now);

    const quota_allowance& allowance() const {
        return m_allowance;
    }

    double tokens() const {
        return m_tokens;
    }

    double fraction() const {
        return m_fraction;
    }

private:
    void cap();

    quota_allowance m_allowance;
    double m_fraction;
    double m_tokens = 0;
    double m_reserve = 0;
    absl::Time m_updated;
    absl::Time m_reserve_updated;
};

} // namespace amaranthladder
