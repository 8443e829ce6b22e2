#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>

namespace amaranthladder {

/// Divides a sequence of requests by weights: in every run of picks each name gets its share within one pick (smooth
/// weighted round robin). Random choice would need thousands of requests for the same accuracy.
class weighted_round_robin {
public:
    /// @param weights by name; at least one is above 0.
    /// @return the name for the next request.
    const std::string& pick(const std::map<std::string, int>& weights);

private:
    absl::flat_hash_map<std::string, double> m_credit; ///< Missing picks by name, in units of the weights' sum.
};

} // namespace amaranthladder
