#pragma once

#include "common/endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// State of a member as this daemon knows it; charts/member.ini holds the transitions.
enum class member_state { alive, suspected, dead, left };

/// @return the stable name of @p state, as in charts/member.ini.
std::string_view name(member_state state);

/// A daemon of the mesh.
///
/// Records of one address are ordered by incarnation, then by state (alive < suspected < dead < left). Only the member
/// itself raises its incarnation.
struct member {
    endpoint address;      ///< UDP and TCP address for messages between daemons; identifies the member.
    endpoint http_address; ///< The owner address in its upstream records.
    std::string data_center;
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace amaranthladder
