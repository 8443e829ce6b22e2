// Decodes arbitrary bytes as a snapshot, and as rows after a valid header. Accepted bytes must be in canonical form,
// and validation must report problems without throwing.

#include "common/error.h"
#include "config/snapshot.h"
#include "config/validator.h"

#include <cstdint>
#include <cstdlib>

using namespace amaranthladder;

namespace {

void decode_bytes(std::string_view bytes) {
    try {
        const auto decoded = snapshot::decode(bytes);
        if (decoded->canonical_bytes() != bytes) {
            std::abort();
        }
        const auto again =
            snapshot::create(decoded->version(), decoded->publish_time(), decoded->publish_id(), decoded->state());
        if (again->hash() != decoded->hash()) {
            std::abort();
        }
        validator::check(decoded->state());
    } catch (const error& failure) {
        if (failure.code() != result_code::snapshot_malformed) {
            std::abort();
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    decode_bytes(bytes);
    decode_bytes("[\"amaranthladder-snapshot\",1,2,0,\"p\"]\n" + bytes);
    return 0;
}
