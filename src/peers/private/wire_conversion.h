#pragma once

#include "peers/messages.h"
#include "peers/upstream_record.h"

#include <peers_types.h>

#include <cstdint>

/// Conversions between the module's structs and those that the Thrift compiler generates. Included in .cpp files only.
/// The from_wire functions throw error with result_code::message_malformed for values out of range.
namespace amaranthladder::wire_conversion {

wire::endpoint to_wire(const endpoint& value);
endpoint from_wire(const wire::endpoint& value);
wire::member to_wire(const member& value);
member from_wire(const wire::member& value);
wire::upstream to_wire(const upstream_record& value);
upstream_record from_wire(const wire::upstream& value);
wire::configuration_digest to_wire(const configuration_digest& value);
configuration_digest from_wire(const wire::configuration_digest& value);
wire::record to_wire(const table_record& value);
table_record from_wire(const wire::record& value);
wire::datagram to_wire(const datagram& value, std::uint64_t mesh);
datagram from_wire(const wire::datagram& value);
wire::repair_offer to_wire(const repair_offer& value, std::uint64_t mesh);
repair_offer from_wire(const wire::repair_offer& value);
wire::repair_difference to_wire(const repair_difference& value);
repair_difference from_wire(const wire::repair_difference& value);
wire::repair_exchange to_wire(const repair_exchange& value, std::uint64_t mesh);
repair_exchange from_wire(const wire::repair_exchange& value);
wire::repair_records to_wire(const repair_records& value);
repair_records from_wire(const wire::repair_records& value);

} // namespace amaranthladder::wire_conversion
