#include "routing/nested_route_detector.h"

#include <algorithm>

namespace amaranthladder {

nested_route_detector::nested_route_detector(nested_route_policy policy) : m_policy(policy) {}

nested_route_detector::verdict nested_route_detector::observe(const std::string& route,
                                                              const std::string& caller_service, absl::Time now) {
    route_state& state = m_routes[route];
    const bool was_nested = state.is_nested;
    if (state.requests_needed == 0) {
        state.requests_needed = m_policy.min_requests;
        state.service = caller_service;
        state.counted_since = now;
    }
    if (state.service != caller_service) {
        // A route whose requests seemed to come from one service needs more evidence the next time.
        if (was_nested) {
            state.requests_needed = std::min(2 * state.requests_needed, m_policy.max_requests);
        }
        state.service = caller_service;
        state.requests = 0;
        state.counted_since = now;
        state.mixed_at = now;
        state.is_nested = false;
    }
    state.requests = std::min(state.requests + 1, m_policy.max_requests);
    const bool has_evidence = !caller_service.empty() && state.requests >= state.requests_needed &&
                              now - state.counted_since >= m_policy.min_time;
    // The other routes are asked only until the conclusion, so that a lull of the callers does not change it.
    state.is_nested = was_nested ? state.is_nested : has_evidence && is_any_other_mixed(route, now);
    return {state.is_nested, state.is_nested != was_nested};
}

bool nested_route_detector::is_any_other_mixed(const std::string& route, absl::Time now) const {
    return std::ranges::any_of(m_routes, [&](const auto& entry) {
        return entry.first != route && now - entry.second.mixed_at <= m_policy.mixed_memory;
    });
}

void nested_route_detector::reset() {
    m_routes.clear();
}

} // namespace amaranthladder
