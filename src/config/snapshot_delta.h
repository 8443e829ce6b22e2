#pragma once

#include "config/snapshot.h"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthladder {

/// The update from one snapshot to another, as daemons exchange it.
///
/// The first row is `["amaranthladder-update",1,base_version,base_hash,version,hash,publish_time_ms,publish_id]`, with
/// base version 0 and an empty hash for a whole snapshot. Then follow `["shift",file,line,offset]` rows, which move the
/// origin lines of a file from this line of the base on (until the next row of the file), `["remove",kind,name]` rows,
/// and the rows of added and changed sections as in a snapshot. Shifts keep a line inserted at the top of a large file
/// from changing each section below it.
class snapshot_delta {
public:
    /// @param base what the receiver holds, or nullptr.
    /// @param target what it shall hold.
    /// @return a delta, or a whole snapshot if there is no base, the base is not older or the delta is not smaller.
    static std::string encode(const snapshot* base, const snapshot& target);

    /// @param base the snapshot in force, or nullptr.
    /// @param bytes an update, at most 16 MiB.
    /// @return the new snapshot, whose hash is the announced one. Its state is not validated, see validator.
    /// @throws error with snapshot_malformed, snapshot_base_mismatch or snapshot_hash_mismatch.
    static std::shared_ptr<const snapshot> apply(const snapshot* base, std::string_view bytes);
};

} // namespace amaranthladder
