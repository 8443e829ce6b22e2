#pragma once

#include "peers/messages.h"
#include "peers/opaque_record.h"
#include "peers/upstream_record.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Encodes and decodes messages between daemons in Thrift's compact protocol. Decoders have bounded memory use and
/// reject trailing bytes.
namespace message_codec {

/// @return the hash that identifies the mesh @p name in messages.
std::uint64_t mesh_hash(std::string_view name);

/// The caller ensures that the result does not exceed max_datagram_bytes.
/// @param mesh hash of this daemon's mesh.
/// @return the payload of @p value.
/// @throws error with result_code::message_malformed if an address is not an IP address.
std::string encode(const datagram& value, std::uint64_t mesh);

/// @param bytes the payload of a datagram.
/// @param mesh hash of this daemon's mesh.
/// @throws error with result_code::message_too_large, message_malformed or message_other_mesh.
datagram decode_datagram(std::string_view bytes, std::uint64_t mesh);

std::string encode(const member& value);
std::string encode(const upstream_record& value);
std::string encode(const opaque_record& value);

/// @name Record decoders. The result is empty if the bytes do not decode or have values out of range.
/// @{
std::optional<member> decode_member(std::string_view bytes);
std::optional<upstream_record> decode_upstream(std::string_view bytes);
std::optional<opaque_record> decode_opaque(std::string_view bytes);
/// @}

} // namespace message_codec

} // namespace amaranthladder
