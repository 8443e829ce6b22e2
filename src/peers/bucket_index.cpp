#include "peers/bucket_index.h"

namespace amaranthladder {

void bucket_index::add(std::uint64_t key_hash, std::uint64_t record_hash) {
    m_buckets[bucket_of(key_hash)] += record_hash;
    m_root += record_hash;
}

void bucket_index::remove(std::uint64_t key_hash, std::uint64_t record_hash) {
    m_buckets[bucket_of(key_hash)] -= record_hash;
    m_root -= record_hash;
}

std::vector<std::uint16_t> bucket_index::differing(std::span<const std::uint64_t> other) const {
    std::vector<std::uint16_t> result;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        if (other.size() != bucket_count || other[bucket] != m_buckets[bucket]) {
            result.push_back(static_cast<std::uint16_t>(bucket));
        }
    }
    return result;
}

} // namespace amaranthladder
