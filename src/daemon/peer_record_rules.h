#pragma once

#include "common/steady_clock.h"
#include "peers/opaque_record.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Key prefix of the records in which an owner states that its upstream of an old version is idle.
inline constexpr std::string_view idle_record_prefix = "idle/";

/// Key of the record with the newest era of the store, a decimal number.
inline constexpr std::string_view store_era_key = "store-era";

/// @throws error with result_code::message_malformed if @p bytes are not a number.
std::uint64_t parse_era(const std::string& bytes);

/// @return the rules for all records that the daemons replicate.
/// @param clock outlives the rules.
opaque_rules make_record_rules(const steady_clock& clock);

} // namespace amaranthladder
