#pragma once

#include "config/snapshot.h"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Encodes and applies updates from one snapshot to another, which daemons exchange.
///
/// The first row is `["amaranthladder-update",2,base_version,base_hash,version,hash,publish_time_ms,publish_id]`, with
/// base version 0 and an empty base hash for a full snapshot. Then follow `["shift",file,line,offset]` rows, each of
/// which adds its offset to the origin lines of a file from this line of the base up to the next shift of the file,
/// `["remove",kind,name]` rows, and the rows of added and changed sections as in a snapshot. Without shifts, a line
/// inserted at the top of a large file would change each section below it.
class snapshot_delta {
public:
    /// @param base the snapshot that the receiver holds, or nullptr.
    /// @param target the snapshot to send.
    /// @return a delta, or a full snapshot if there is no base, the base is not older or the delta is not smaller.
    static std::string encode(const snapshot* base, const snapshot& target);

    /// @param base the active snapshot, or nullptr.
    /// @param bytes an update, at most 16 MiB.
    /// @return the new snapshot, whose hash equals the one in the update. Its state is not validated; see validator.
    /// @throws error with snapshot_malformed, snapshot_base_mismatch or snapshot_hash_mismatch.
    static std::shared_ptr<const snapshot> apply(const snapshot* base, std::string_view bytes);
};

} // namespace amaranthladder
