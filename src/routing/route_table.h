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

/// The result of looking up a request's route.
struct route_match {
    std::shared_ptr<const route> matched;        ///< Keeps its snapshot alive; empty on a refusal.
    result_code refusal = result_code::no_route; ///< ok, no_route or method_not_allowed.
};

/// Finds the route of a request: among the routes of its host, or those of every host if it has none of its own, the
/// longest path prefix of whole segments wins.
///
/// If the longest matching prefix has routes but none allows the method, the request is refused; shorter prefixes are
/// not tried, since a request must not reach another service because of its method.
class route_table {
public:
    /// An empty table, which refuses every request.
    route_table() = default;

    /// @param state the state whose routes to use; the table keeps it alive.
    explicit route_table(std::shared_ptr<const intended_state> state);

    /// @param host the host that the request names; case and a port are ignored.
    /// @param method the HTTP method, compared case-sensitively.
    /// @param target the request target; a query and a fragment are ignored. Percent-encoded characters are compared
    ///        as they stand.
    /// @return the route or a refusal.
    route_match match(std::string_view host, std::string_view method, std::string_view target) const;

private:
    /// Routes of one host.
    struct host_routes {
        absl::flat_hash_map<std::string, std::vector<const route*>> by_prefix; ///< Without a trailing slash.
        std::size_t max_prefix_segments =
            0; ///< Segments of the deepest prefix; bounds the work for paths of many slashes.
    };

    route_match match_path(const host_routes& routes, std::string_view method, std::string_view path) const;
    route_match match_method(const std::vector<const route*>& routes, std::string_view method, bool has_subpath) const;

    std::shared_ptr<const intended_state> m_state;
    absl::flat_hash_map<std::string, host_routes> m_routes_by_host; ///< The empty name stands for every host.
};

} // namespace amaranthladder
