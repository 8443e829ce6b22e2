#pragma once

#include <cstdint>
#include <string_view>

namespace amaranthladder {

/// 64-bit FNV-1a hash with a finalizer. The same in every build and process, unlike absl::Hash.
constexpr std::uint64_t stable_hash(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    }
    // Without this finalizer, the upper bits, which select the bucket, hardly depend on the last bytes.
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33U);
}

} // namespace amaranthladder
