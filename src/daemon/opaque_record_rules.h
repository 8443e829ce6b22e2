#pragma once

#include "common/steady_clock.h"
#include "moves/move_order.h"
#include "peers/opaque_record.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Key prefix of the records in which an owner states that its upstream of an old version is idle.
inline constexpr std::string_view idle_record_prefix = "idle/";

/// Key of the record with the newest era of the store, a decimal number.
inline constexpr std::string_view store_era_key = "store-era";

/// @return the key of the record in which the owner of @p upstream_id states that it is idle.
std::string idle_record_key(const move_order& order, const std::string& upstream_id);

/// @param bytes content of the record store_era_key.
/// @throws error with result_code::message_malformed if @p bytes is not a number.
std::uint64_t parse_era(const std::string& bytes);

/// @param clock decides when records are obsolete; must outlive the rules.
/// @return how daemons merge, drop and spread the records that they exchange.
opaque_rules make_opaque_rules(const steady_clock& clock);

} // namespace amaranthladder
