#pragma once

namespace amaranthladder {

/// Bytes in a megabit, the unit of the speeds of links.
inline constexpr double bytes_per_megabit = 1e6 / 8;

} // namespace amaranthladder
