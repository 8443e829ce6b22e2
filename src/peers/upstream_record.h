#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthladder {

/// Replicated record of an upstream that was announced to its owner, the daemon beside it.
///
/// Records with the same id are ordered by (incarnation, sequence): the owner raises `sequence` with each change and
/// takes a higher `incarnation` after a restart of the owner or the upstream.
struct upstream_record {
    std::string id; ///< Unique in the mesh.
    std::string service;
    std::string version;
    std::string data_center;
    endpoint owner;                  ///< HTTP address of the owner daemon.
    endpoint address;                ///< HTTP address of the upstream.
    int slots = 0;                   ///< Maximum number of concurrent requests.
    std::vector<std::string> routes; ///< Names of the routes it serves; empty: all routes of its service.
    bool is_leaving = false;
    bool is_withdrawn = false; ///< Tombstone of a removed upstream.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    absl::Time started_at = absl::UnixEpoch(); ///< Start of the upstream's process; the epoch if it is unknown.

    friend bool operator==(const upstream_record&, const upstream_record&) = default;
};

/// @return true if two records with the same id are of one start of the upstream. Where the start is unknown, a new
///         incarnation counts as one.
inline bool is_same_start(const upstream_record& left, const upstream_record& right) {
    return left.started_at == right.started_at &&
           (left.started_at != absl::UnixEpoch() || left.incarnation == right.incarnation);
}

} // namespace amaranthladder
