#include "routing/completion_estimate.h"

#include "routing/link_units.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// @return load^2 / (1 - load) below @p max_load, and its tangent there above it.
double crowding(double load, double max_load) {
    const double known = std::min(load, max_load);
    const double free = 1 - known;
    const double slope = known * (2 - known) / (free * free);
    return known * known / free + (load - known) * slope;
}

absl::Duration transfer_time(const completion_inputs& inputs, const completion_policy& policy) {
    if (inputs.link_mbps <= 0) {
        return absl::ZeroDuration();
    }
    const double utilisation = std::clamp(inputs.link_utilisation, 0.0, policy.max_link_utilisation);
    const double bytes_ahead = utilisation * policy.link_burst_bytes;
    const double remaining = (1 - utilisation) * inputs.link_mbps * bytes_per_megabit;
    return absl::Seconds((inputs.bytes + bytes_ahead) / remaining);
}

} // namespace

completion_estimate estimate_completion(const completion_inputs& inputs, const completion_policy& policy) {
    const absl::Duration service_time = inputs.service_time * inputs.work_factor;
    const double load = std::max(inputs.load, 0.0);
    const double queued = std::max(0.0, load + 1 / inputs.slots - 1);
    return {.work = inputs.route_time * inputs.work_factor,
            .queue = service_time * (queued + policy.load_weight * load),
            .transfer = transfer_time(inputs, policy),
            .spread = service_time * policy.spread_weight * crowding(load, policy.max_load)};
}

} // namespace amaranthladder
