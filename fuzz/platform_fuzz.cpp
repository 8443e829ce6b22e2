// Decodes arbitrary text as each kind of body that operators and upstreams of the platform write.

#include "common/error.h"
#include "platform/control_calls.h"
#include "platform/intent.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace amaranthladder;

namespace {

constexpr const char* order_key = "op/rollout/tienda";

/// Runs @p decode. It may only throw an error with a specific result code, not an internal error.
template <typename Decode> void decode_or_refuse(const Decode& decode) {
    try {
        decode();
    } catch (const error& failure) {
        if (failure.code() == result_code::internal_error) {
            std::abort();
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const intent_format format = platform::make_intent_format();
    const std::string text(reinterpret_cast<const char*>(data), size);
    for (const char* const key : {"op/config", order_key, "op/other"}) {
        decode_or_refuse([&] { format.decode({key, text, 7}); });
    }
    decode_or_refuse([&] { format.decode_report({format.report_key("tienda"), text, 7}, "v2"); });
    decode_or_refuse([&] { platform::read_heartbeat("tienda-1", text); });
    return 0;
}
