// Decodes arbitrary bytes as a datagram between daemons and as each kind of record. An accepted datagram must be the
// same after encoding and decoding.

#include "common/error.h"
#include "peers/message_codec.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace amaranthladder;

namespace {

constexpr std::string_view mesh = "litoral";

void decode_datagram(std::string_view bytes) {
    const std::uint64_t hash = message_codec::mesh_hash(mesh);
    try {
        const datagram decoded = message_codec::decode_datagram(bytes, hash);
        if (message_codec::decode_datagram(message_codec::encode(decoded, hash), hash) != decoded) {
            std::abort();
        }
    } catch (const error& failure) {
        const result_code code = failure.code();
        if (code != result_code::message_malformed && code != result_code::message_too_large &&
            code != result_code::message_other_mesh) {
            std::abort();
        }
    }
}

/// Wraps @p records in a valid datagram, so that the fuzzer does not have to find the mesh hash. Decodes it as it is
/// and with one byte changed.
void decode_in_frame(const std::string& records) {
    datagram frame;
    frame.sender.address = {"10.0.0.1", 1};
    frame.sender.http_address = {"10.0.0.1", 2};
    frame.sender.data_center = "a";
    frame.records.push_back({table_id::members, records, 0});
    std::string bytes = message_codec::encode(frame, message_codec::mesh_hash(mesh));
    decode_datagram(bytes);
    if (!records.empty()) {
        bytes[static_cast<unsigned char>(records.front()) % bytes.size()] ^= records.back();
        decode_datagram(bytes);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    decode_datagram(bytes);
    decode_in_frame(bytes);
    message_codec::decode_member(bytes);
    message_codec::decode_upstream(bytes);
    message_codec::decode_opaque(bytes);
    return 0;
}
