#include "routing/route_table.h"

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

/// @return the part of @p path that holds its first @p segments segments.
std::string_view leading_segments(std::string_view path, std::size_t segments) {
    std::size_t end = 0;
    for (std::size_t segment = 0; segment < segments && end < path.size(); ++segment) {
        end = std::min(path.find('/', end + 1), path.size());
    }
    return path.substr(0, end);
}

} // namespace

route_table::route_table(std::shared_ptr<const intended_state> state) : m_state(std::move(state)) {
    for (const auto& [name, route] : m_state->routes) {
        const std::string_view prefix = without_trailing_slashes(route.path_prefix);
        m_routes_by_prefix[std::string(prefix)].push_back(&route);
        m_deepest_prefix = std::max(m_deepest_prefix, count_segments(prefix));
    }
}

route_match route_table::match(std::string_view method, std::string_view target) const {
    const std::string_view path = target.substr(0, std::min(target.find_first_of("?#"), target.size()));
    if (path.empty() || path.front() != '/') {
        return {};
    }
    std::string_view prefix = without_trailing_slashes(leading_segments(path, m_deepest_prefix));
    while (true) {
        const auto found = m_routes_by_prefix.find(absl::string_view(prefix.data(), prefix.size()));
        if (found != m_routes_by_prefix.end()) {
            return match_method(found->second, method);
        }
        if (prefix.empty()) {
            return {};
        }
        prefix = prefix.substr(0, prefix.rfind('/'));
    }
}

route_match route_table::match_method(const std::vector<const route*>& routes, std::string_view method) const {
    for (const route* candidate : routes) {
        if (candidate->methods.empty() || std::ranges::find(candidate->methods, method) != candidate->methods.end()) {
            return {std::shared_ptr<const route>(m_state, candidate), result_code::ok};
        }
    }
    return {nullptr, result_code::method_not_allowed};
}

} // namespace amaranthladder
