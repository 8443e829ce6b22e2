#pragma once

#include "common/endpoint.h"
#include "peers/member.h"

#include <cstddef>
#include <vector>

namespace amaranthladder {

/// Number of daemons that receive the call counts of a move. More than one, since one may be frozen or cut off before
/// the others know.
inline constexpr std::size_t collector_count = 3;

/// Selects the daemons that receive the call counts of all daemons during a move and decide on it. With gossip to all
/// daemons, the counts of 170 upstreams took more bytes than the messages of one daemon hold, and verdicts waited
/// behind them for 4 to 7 s.
/// @param alive the alive members; all daemons that know the same ones select the same collectors.
/// @return peer addresses, ordered by a hash of the address.
std::vector<endpoint> select_collectors(const std::vector<member>& alive);

} // namespace amaranthladder
