#include "store/head_reader.h"

#include "store/private/content_hash.h"

#include <fmt/format.h>

namespace amaranthladder {

void check_content(const config_head& head, std::string_view bytes) {
    if (const std::string actual = content_hash(bytes); actual != head.hash) {
        throw error(result_code::snapshot_hash_mismatch,
                    fmt::format("version {}: hash {}, expected {}", head.version, actual, head.hash));
    }
}

} // namespace amaranthladder
