#pragma once

#include "config/intended_state.h"

#include <cstdint>

namespace amaranthladder {

/// Sets `introduced_in` of each move: the number in @p previous if the move's text is the same there, otherwise
/// @p new_version, so that editing a move starts a new one. The line of a move is no part of its text.
/// @param previous the state of the version before, or nullptr if there is none.
/// @param next the state to be published.
/// @param new_version the version of @p next.
void stamp_moves(const intended_state* previous, intended_state& next, std::uint64_t new_version);

} // namespace amaranthladder
