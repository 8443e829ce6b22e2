#pragma once

#include "config/intended_state.h"

#include <cstdint>

namespace amaranthladder {

/// Sets `introduced_in` of each move: the value in @p previous if the move is unchanged since then, otherwise
/// @p new_version, so that an edited move starts as a new one. A change of a move's origin line alone is no change.
/// @param previous the state of the previous version, or nullptr if there is none.
/// @param next the state to be published.
/// @param new_version the version of @p next.
void stamp_moves(const intended_state* previous, intended_state& next, std::uint64_t new_version);

} // namespace amaranthladder
