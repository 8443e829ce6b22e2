#include "routing/request_priority.h"

#include <algorithm>

namespace amaranthladder {

namespace {

constexpr int priority_count = max_configured_priority + 1;

} // namespace

int request_priority(const tenant* identified, const route& matched) {
    const int route_priority = std::clamp(matched.priority, 0, max_configured_priority);
    const int tenant_priority = identified != nullptr && identified->priority
                                    ? std::clamp(*identified->priority, 0, max_configured_priority)
                                    : route_priority;
    return tenant_priority * priority_count + route_priority;
}

int tenant_part(int priority) {
    return std::max(priority, 0) / priority_count;
}

int route_part(int priority) {
    return std::max(priority, 0) % priority_count;
}

} // namespace amaranthladder
