// Applies arbitrary bytes to a fixed base snapshot: as the rows of an update whose header is valid for the base, and as
// a complete update.

#include "common/error.h"
#include "config/snapshot.h"
#include "config/snapshot_delta.h"

#include <fmt/format.h>

#include <cstdint>
#include <cstdlib>

using namespace amaranthladder;

namespace {

std::shared_ptr<const snapshot> make_base() {
    intended_state state;
    state.services["s"] = {"s", absl::Seconds(1), 1, {"a.ini", 1}};
    state.routes["r"] = {"r", "s", "/r", {"GET"}, route_kind::by_method, absl::ZeroDuration(), {"a.ini", 4}};
    state.shares["s"] = {"s", {{"1", 1}}, {"b.ini", 1}};
    state.moves["m"] = {"m", "s", "1", "2", absl::FromUnixSeconds(2'000'000'000), 1, {"b.ini", 3}};
    return snapshot::create(1, absl::UnixEpoch(), "p", state);
}

void apply_bytes(const snapshot& base, std::string_view bytes) {
    try {
        snapshot_delta::apply(&base, bytes);
    } catch (const error& failure) {
        const result_code code = failure.code();
        if (code != result_code::snapshot_malformed && code != result_code::snapshot_base_mismatch &&
            code != result_code::snapshot_hash_mismatch) {
            std::abort();
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const std::shared_ptr<const snapshot> base = make_base();
    static const std::string header =
        fmt::format("[\"amaranthladder-update\",1,1,\"{}\",2,\"\",0,\"p\"]\n", base->hash());
    const std::string rows(reinterpret_cast<const char*>(data), size);
    apply_bytes(*base, header + rows);
    apply_bytes(*base, rows);
    return 0;
}
