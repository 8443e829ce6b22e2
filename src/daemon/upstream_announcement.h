#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Announcement of an upstream to the daemon beside it; docs/interfaces.md defines the JSON format.
struct upstream_announcement {
    std::string id;
    std::string service;
    std::string version;
    endpoint address;
    int slots = 1;                   ///< Maximum of concurrent requests, 1 to 10,000.
    std::vector<std::string> routes; ///< Routes that the upstream serves; empty: all of its service.
    double load = 0;                 ///< Load as a hint: 0 is idle, 1 is full; may exceed 1.
    bool is_leaving = false;
    absl::Time started_at = absl::UnixEpoch(); ///< Start of the upstream; decides between equal ids or addresses.
    std::uint64_t sequence = 0;                ///< Increases with each announcement since the start; 0: not stated.
    absl::Duration remaining_warm_up;          ///< Time for which the upstream is still cold; zero: it is warm.

    friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;
};

/// Maximum size of an announcement's body.
inline constexpr std::size_t max_announcement_bytes = std::size_t{64} * 1024;

/// @return the announcement as JSON for parse_announcement, without load, sequence and warm-up time.
std::string to_json(const upstream_announcement& announcement);

/// @param json the body of `PUT /v1/upstream`.
/// @return the announcement.
/// @throws error with result_code::announcement_malformed that names the missing or invalid key, or with
///         result_code::message_too_large.
upstream_announcement parse_announcement(std::string_view json);

} // namespace amaranthladder
