#pragma once

#include "peers/member.h"
#include "peers/replicated_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Key, merge order and encoding of members for replicated_table.
struct member_traits {
    std::string key(const member& value) const;

    /// @return the record with the higher (incarnation, state); of equals, the one with the greater encoding.
    member merge(const member& stored, const member& received) const;
    std::string encode(const member& value) const;
    std::optional<member> decode(std::string_view bytes) const;

    /// @return true for members that are dead or have left.
    bool is_tombstone(const member& value) const;
};

using member_table = replicated_table<member, member_traits>;

} // namespace amaranthladder
