#pragma once

#include <cstdint>
#include <string>

namespace amaranthladder {

/// A store's revision of a key; 0 stands for an absent key.
///
/// A store that comes back from an older copy of its contents gives its revision numbers out again. Its era, which
/// rises with each such return, takes the upper bits, so that revisions of a later era are higher and never equal to
/// earlier ones. Stores without eras have era 0.
using revision = std::uint64_t;

/// Bits of a revision that hold the store's own number: enough for a thousand changes a second over 500 years.
inline constexpr int revision_number_bits = 44;

/// Highest era that a revision can hold.
inline constexpr std::uint64_t max_era = (std::uint64_t{1} << (64 - revision_number_bits)) - 1;

/// @return the revision for a store's number; 0 for number 0.
constexpr revision make_revision(std::uint64_t era, std::uint64_t number) {
    return number == 0 ? 0 : (era << revision_number_bits) | number;
}

constexpr std::uint64_t era_of(revision value) {
    return value >> revision_number_bits;
}

/// @return the store's own number.
constexpr std::uint64_t number_of(revision value) {
    return value & ((std::uint64_t{1} << revision_number_bits) - 1);
}

/// @return the revision for log lines: `ERA:NUMBER`, or only the number without an era.
inline std::string revision_text(revision value) {
    const std::string number = std::to_string(number_of(value));
    return era_of(value) == 0 ? number : std::to_string(era_of(value)) + ":" + number;
}

} // namespace amaranthladder
