#pragma once

#include "config/intended_state.h"

namespace amaranthladder {

/// Highest priority number of a tenant and of a route in a configuration, the least urgent one.
inline constexpr int max_configured_priority = 1000;

/// @param identified the tenant of a request; null: none.
/// @param matched the route of the request.
/// @return the priority of the request as one number, 0 being the most urgent: it orders requests by the priority of
///         the tenant, and those of equal ones by the priority of the route. Without a tenant that states a priority,
///         the priority of the route stands for both: such requests are ordered by their routes alone, and rank beside
///         those of tenants whose priority is the same number.
int request_priority(const tenant* identified, const route& matched);

/// @return the priority of the tenant in a request_priority() that another daemon may have sent.
int tenant_part(int priority);

/// @return the priority of the route in a request_priority().
int route_part(int priority);

} // namespace amaranthladder
