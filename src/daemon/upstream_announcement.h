#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// What an upstream says of itself to the daemon beside it; docs/interfaces.md gives the shape.
struct upstream_announcement {
    std::string id;
    std::string service;
    std::string version;
    endpoint address;
    int slots = 1;                   ///< Requests the upstream runs at once, 1 to 10,000.
    std::vector<std::string> routes; ///< Routes it can serve; empty: all of its service.
    double load = 0;                 ///< A hint from 0 (idle) upwards; 1 is full.
    bool is_leaving = false;
    absl::Time started_at = absl::UnixEpoch(); ///< Start of the upstream; orders two that share an id or an address.
    std::uint64_t sequence = 0;                ///< Grows with each announcement of one start; 0: not stated.
    absl::Duration remaining_warm_up;          ///< How much longer the upstream is slow after its start.

    friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;
};

/// Largest body of an announcement.
inline constexpr std::size_t max_announcement_bytes = std::size_t{64} * 1024;

/// @return @p announcement as JSON that parse_announcement reads, without its load.
std::string to_json(const upstream_announcement& announcement);

/// @param json the body of `PUT /v1/upstream`.
/// @return the announcement.
/// @throws error with result_code::announcement_malformed naming the key that is missing or wrong.
upstream_announcement parse_announcement(std::string_view json);

} // namespace amaranthladder
