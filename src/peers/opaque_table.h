#pragma once

#include "peers/opaque_record.h"
#include "peers/replicated_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Key, merge and encoding of opaque records for replicated_table; opaque_rules define the merge.
struct opaque_traits {
    opaque_rules rules;

    std::string key(const opaque_record& value) const;
    opaque_record merge(const opaque_record& stored, const opaque_record& received) const;
    std::string encode(const opaque_record& value) const;
    std::optional<opaque_record> decode(std::string_view bytes) const;

    /// @return false: opaque records have no tombstones. opaque_rules::is_obsolete selects those that are dropped.
    bool is_tombstone(const opaque_record& value) const;
};

using opaque_table = replicated_table<opaque_record, opaque_traits>;

} // namespace amaranthladder
