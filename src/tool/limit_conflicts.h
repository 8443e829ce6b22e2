#pragma once

#include "config/intended_state.h"
#include "tool/check_finding.h"

#include <absl/time/time.h>

#include <vector>

namespace amaranthladder {

/// A burst that takes longer than this to fill again is more than occasional use of what was saved.
inline constexpr absl::Duration max_burst_refill = absl::Minutes(1);

/// Finds limits of a configuration that contradict each other:
/// - a target latency above the timeout of the route, or of one of its services if the route has none;
/// - attempts of which the last one would begin after the timeout if each takes the target latency;
/// - a burst of a tenant without a rate, one of less than a request, and one that the rate takes longer than
///   max_burst_refill to fill again.
///
/// @param state the state; may be invalid.
/// @param line finds the positions of the findings.
std::vector<check_finding> find_limit_conflicts(const intended_state& state, const finding_line& line);

} // namespace amaranthladder
