// Reads arbitrary bytes as a configuration file and as a settings file. An accepted configuration must be the same
// after encoding and decoding.

#include "common/error.h"
#include "config/snapshot.h"
#include "config/state_builder.h"
#include "config/validator.h"
#include "settings/daemon_settings.h"

#include <cstdint>
#include <cstdlib>

using namespace amaranthladder;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    try {
        const intended_state state = state_builder::build_valid({{"a.ini", std::string(text)}});
        const auto published = snapshot::create(1, absl::UnixEpoch(), "p", state);
        if (!(snapshot::decode(published->canonical_bytes())->state() == state)) {
            std::abort();
        }
    } catch (const config_error_list&) {
    }
    try {
        read_daemon_settings("d.ini", text);
    } catch (const config_error_list&) {
    }
    return 0;
}
