#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>

namespace amaranthladder {

/// Distributes requests by weight with smooth weighted round robin.
///
/// From the first pick on, the count of each name stays within about one pick of its share. Random choice would need
/// thousands of requests for the same accuracy.
class weighted_round_robin {
public:
    /// @param weights weights by name; at least one is above 0.
    /// @return the name for the next request.
    const std::string& pick(const std::map<std::string, int>& weights);

private:
    absl::flat_hash_map<std::string, double> m_credit; ///< By name: picks due less picks made.
};

} // namespace amaranthladder
