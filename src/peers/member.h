#pragma once

#include "common/endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// State of a member as known to this daemon; charts/member.ini defines the transitions.
enum class member_state { alive, suspected, dead, left };

/// @return the name of @p state in charts/member.ini.
std::string_view name(member_state state);

/// Membership record of one daemon of the mesh.
///
/// Records with the same address are ordered by incarnation, then by state (alive < suspected < dead < left). Only the
/// member itself raises its incarnation.
struct member {
    endpoint address;      ///< UDP and TCP address for messages between daemons; the key of the record.
    endpoint http_address; ///< Owner address in the upstream records of this member.
    std::string data_center;
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace amaranthladder
