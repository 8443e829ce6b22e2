#pragma once

#include "routing/routing_decision.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <span>

namespace amaranthladder {

/// Constants of picker; docs/routing.md gives the reasons.
struct picker_policy {
    double spillover_load = 0.8;       ///< Requests per slot from which another data centre may take over.
    double spillover_cost_ratio = 2.0; ///< Cost of the own data centre over that of another from which it takes over.
};

/// One upstream that may take a request.
struct pick_candidate {
    double weight = 1;    ///< Relative capacity: chance of being one of the two compared.
    double cost = 0;      ///< Lower is better.
    double load = 0;      ///< Estimated requests per slot.
    bool is_local = true; ///< True if it is in the entry's own data centre.
    /// Expected time until the answer, as the owner's reports let it be worked out; zero if unknown.
    absl::Duration expected_latency = absl::ZeroDuration();
};

/// Positions in the list of candidates.
struct pick_result {
    std::size_t chosen = 0;
    std::optional<std::size_t> compared;
    choice_reason reason = choice_reason::only_candidate;
};

/// Power of two choices, in the own data centre first.
class picker {
public:
    explicit picker(picker_policy policy = {});

    /// @param candidates at least one.
    /// @param rng source of randomness.
    /// @param max_local_latency expected time up to which an upstream of the own data centre is good enough:
    /// bytes between
    ///        data centres cost more than the time that another one would save. Zero: the policy's spill rules decide.
    pick_result pick(std::span<const pick_candidate> candidates, absl::BitGenRef rng,
                     absl::Duration max_local_latency = absl::ZeroDuration()) const;

private:
    picker_policy m_policy;
};

} // namespace amaranthladder
