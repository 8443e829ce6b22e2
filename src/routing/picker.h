#pragma once

#include "routing/completion_estimate.h"
#include "routing/data_center_choice.h"
#include "routing/routing_decision.h"

#include <absl/functional/function_ref.h>
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
    absl::Duration report_age = absl::ZeroDuration(); ///< Age of the newest report; infinite without any.
    completion_estimate parts = {}; ///< Parts of that time, without what earlier responses took longer than expected.
};

/// Indexes into the list of candidates.
struct pick_result {
    std::size_t chosen = 0;
    std::optional<std::size_t> compared;
    choice_reason reason = choice_reason::only_candidate;
    double leave_probability = 0; ///< With which the request was to leave its data centre.
};

/// Chooses an upstream by power of two choices, with preference for the local data centre.
class picker {
public:
    explicit picker(picker_policy policy = {}, data_center_policy data_centers = {});

    /// @param candidates at least one; only their weights and data centres need to be known.
    /// @param estimate fills in the other members of a candidate, given by its index. Called for those that are drawn,
    ///        up to four, since the estimates of all would take most of the time of a choice.
    /// @param rng source of randomness.
    /// @param question limits and sizes of the request, from which it is decided whether it leaves the data centre. The
    ///        expected times are those of the candidates; without them the spillover rules of the policy decide.
    pick_result pick(std::span<const pick_candidate> candidates, absl::FunctionRef<void(std::size_t)> estimate,
                     absl::BitGenRef rng, data_center_question question = {}) const;

private:
    picker_policy m_policy;
    data_center_choice m_data_centers;
};

} // namespace amaranthladder
