#include "store/private/content_hash.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/sha.h>

#include <array>

namespace amaranthladder {

std::string content_hash(std::string_view bytes) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    return fmt::format("{:02x}", fmt::join(digest, ""));
}

} // namespace amaranthladder
