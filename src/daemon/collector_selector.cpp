#include "daemon/collector_selector.h"

#include "common/stable_hash.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace amaranthladder {

namespace {

/// Makes the order differ from that of other selections by the hash of the address.
constexpr const char* hash_salt = "collector/";

} // namespace

std::vector<endpoint> select_collectors(const std::vector<member>& alive) {
    std::vector<std::pair<std::uint64_t, endpoint>> ranked;
    ranked.reserve(alive.size());
    for (const member& peer : alive) {
        ranked.emplace_back(stable_hash(hash_salt + to_string(peer.address)), peer.address);
    }
    const std::size_t count = std::min(ranked.size(), collector_count);
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<endpoint> collectors;
    std::transform(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), std::back_inserter(collectors),
                   [](const auto& entry) { return entry.second; });
    return collectors;
}

} // namespace amaranthladder
