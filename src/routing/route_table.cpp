#include "routing/route_table.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

std::string_view without_trailing_slashes(std::string_view path) {
    while (!path.empty() && path.back() == '/') {
        path.remove_suffix(1);
    }
    return path;
}

std::size_t count_segments(std::string_view prefix) {
    return static_cast<std::size_t>(std::ranges::count(prefix, '/'));
}

/// @return the first @p segments segments of @p path.
std::string_view leading_segments(std::string_view path, std::size_t segments) {
    std::size_t end = 0;
    for (std::size_t segment = 0; segment < segments && end < path.size(); ++segment) {
        end = std::min(path.find('/', end + 1), path.size());
    }
    return path.substr(0, end);
}

/// @return @p host in lower case, without a port.
std::string normalized_host(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    const std::string_view name = host.substr(0, colon == std::string_view::npos ? host.size() : colon);
    std::string result(name);
    std::ranges::transform(result, result.begin(),
                           [](char letter) { return absl::ascii_tolower(static_cast<unsigned char>(letter)); });
    return result;
}

} // namespace

route_table::route_table(std::shared_ptr<const intended_state> state) : m_state(std::move(state)) {
    for (const auto& [name, route] : m_state->routes) {
        const std::string_view prefix = without_trailing_slashes(route.path_prefix);
        host_routes& routes = m_routes_by_host[route.host];
        routes.by_prefix[std::string(prefix)].push_back(&route);
        routes.max_prefix_segments = std::max(routes.max_prefix_segments, count_segments(prefix));
    }
}

route_match route_table::match(std::string_view host, std::string_view method, std::string_view target) const {
    const std::string_view path = target.substr(0, std::min(target.find_first_of("?#"), target.size()));
    if (path.empty() || path.front() != '/') {
        return {};
    }
    auto routes = m_routes_by_host.find(normalized_host(host));
    if (routes == m_routes_by_host.end()) {
        routes = m_routes_by_host.find("");
    }
    return routes == m_routes_by_host.end() ? route_match{} : match_path(routes->second, method, path);
}

route_match route_table::match_path(const host_routes& routes, std::string_view method, std::string_view path) const {
    std::string_view prefix = without_trailing_slashes(leading_segments(path, routes.max_prefix_segments));
    while (true) {
        const auto found = routes.by_prefix.find(absl::string_view(prefix.data(), prefix.size()));
        if (found != routes.by_prefix.end()) {
            route_match matched = match_method(found->second, method, path.size() > prefix.size());
            if (matched.refusal != result_code::no_route) {
                return matched;
            }
        }
        if (prefix.empty()) {
            return {};
        }
        prefix = prefix.substr(0, prefix.rfind('/'));
    }
}

route_match route_table::match_method(const std::vector<const route*>& routes, std::string_view method,
                                      bool has_subpath) const {
    result_code refusal = result_code::no_route;
    for (const route* candidate : routes) {
        if (candidate->needs_subpath && !has_subpath) {
            continue;
        }
        if (candidate->methods.empty() || std::ranges::find(candidate->methods, method) != candidate->methods.end()) {
            return {std::shared_ptr<const route>(m_state, candidate), result_code::ok};
        }
        refusal = result_code::method_not_allowed;
    }
    return {nullptr, refusal};
}

} // namespace amaranthladder
