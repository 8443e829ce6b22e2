#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

namespace amaranthladder {

/// Computes the delays between attempts: capped exponential backoff with full jitter, so that clients that failed
/// together do not retry together.
class backoff {
public:
    /// @param initial upper limit of the first delay, above zero.
    /// @param cap upper limit of all delays, at least @p initial.
    backoff(absl::Duration initial, absl::Duration cap);

    /// @param random source of the jitter.
    /// @return the delay before the next attempt: uniform from 0 to a limit that doubles with each call up to the cap.
    absl::Duration next_delay(absl::BitGenRef random);

    /// Resets the limit to its initial value; to be called after a successful attempt.
    void reset();

private:
    absl::Duration m_initial;
    absl::Duration m_cap;
    absl::Duration m_limit;
};

} // namespace amaranthladder
