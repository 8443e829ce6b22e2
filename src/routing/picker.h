#pragma once

#include "routing/completion_estimate.h"
#include "routing/routing_decision.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <span>

namespace amaranthladder {

/// Parameters of picker; docs/routing.md gives the reasons.
struct picker_policy {
    double spillover_load = 0.8;       ///< Local load, in requests per slot, from which requests may spill over.
    double spillover_cost_ratio = 2.0; ///< Ratio of local to remote cost above which requests spill over.
};

/// An upstream that can serve the request.
struct pick_candidate {
    double weight = 1;    ///< Relative capacity; the chance of being drawn is proportional to it.
    double cost = 0;      ///< Lower is better.
    double load = 0;      ///< Estimated requests per slot.
    bool is_local = true; ///< The upstream is in the data centre of the entry.
    /// Expected time to the response, estimated from reports of owners; zero if unknown.
    absl::Duration expected_latency = absl::ZeroDuration();
    completion_estimate parts = {}; ///< Parts of that time, without what earlier responses took longer than expected.
};

/// Indexes into the list of candidates.
struct pick_result {
    std::size_t chosen = 0;
    std::optional<std::size_t> compared;
    choice_reason reason = choice_reason::only_candidate;
};

/// Chooses an upstream by power of two choices, with preference for the local data centre.
class picker {
public:
    explicit picker(picker_policy policy = {});

    /// @param candidates at least one.
    /// @param rng source of randomness.
    /// @param max_local_latency expected latency up to which a local upstream is always preferred, since traffic
    ///        between data centres costs more than the time saved. Zero: the spillover rules of the policy decide.
    pick_result pick(std::span<const pick_candidate> candidates, absl::BitGenRef rng,
                     absl::Duration max_local_latency = absl::ZeroDuration()) const;

private:
    picker_policy m_policy;
};

} // namespace amaranthladder
