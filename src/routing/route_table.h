#pragma once

#include "common/result_code.h"
#include "config/intended_state.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Result of looking up the route of a request.
struct route_match {
    std::shared_ptr<const route> matched;        ///< Keeps its snapshot alive; null on a refusal.
    result_code refusal = result_code::no_route; ///< ok, no_route or method_not_allowed.
};

/// Finds the route of a request by host, longest path prefix in whole segments, and method.
///
/// Routes without a host apply only if no route names the host of the request. If the longest matching prefix has
/// routes but none allows the method, the request is refused: with a fallback to a shorter prefix, the method could
/// take it to another service.
class route_table {
public:
    /// Constructs an empty table, which refuses every request.
    route_table() = default;

    /// @param state intended state with the routes; the table keeps it alive.
    explicit route_table(std::shared_ptr<const intended_state> state);

    /// @param host host of the request; case and port are ignored.
    /// @param method HTTP method, case-sensitive.
    /// @param target request target; query and fragment are ignored. Percent-encoded characters are not decoded.
    /// @return the route or a refusal.
    route_match match(std::string_view host, std::string_view method, std::string_view target) const;

private:
    /// Routes of one host.
    struct host_routes {
        absl::flat_hash_map<std::string, std::vector<const route*>> by_prefix; ///< Without a trailing slash.
        /// Segments of the deepest prefix. Bounds the work for paths with many slashes.
        std::size_t max_prefix_segments = 0;
    };

    route_match match_path(const host_routes& routes, std::string_view method, std::string_view path) const;
    route_match match_method(const std::vector<const route*>& routes, std::string_view method, bool has_subpath) const;

    std::shared_ptr<const intended_state> m_state;
    absl::flat_hash_map<std::string, host_routes> m_routes_by_host; ///< Under the empty name: routes for every host.
};

} // namespace amaranthladder
