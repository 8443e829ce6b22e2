#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace amaranthladder {

/// Order-independent hashes of a set of records, one per bucket and one over all. Adding and removing a record take
/// constant time.
class bucket_index {
public:
    static constexpr std::size_t bucket_count = 256;

    /// @return the bucket of the key with @p key_hash.
    static constexpr std::size_t bucket_of(std::uint64_t key_hash) {
        return key_hash >> 56U;
    }

    void add(std::uint64_t key_hash, std::uint64_t record_hash);
    void remove(std::uint64_t key_hash, std::uint64_t record_hash);

    /// @return the hash over all records; daemons with the same records have the same hash.
    std::uint64_t root() const {
        return m_root;
    }

    std::span<const std::uint64_t> buckets() const {
        return m_buckets;
    }

    /// @param other the bucket hashes of a peer.
    /// @return the buckets that differ; all if @p other has another number of buckets.
    std::vector<std::uint16_t> differing(std::span<const std::uint64_t> other) const;

private:
    // Sums instead of XOR: with XOR, the same record hash under two keys would cancel out.
    std::array<std::uint64_t, bucket_count> m_buckets{};
    std::uint64_t m_root = 0;
};

} // namespace amaranthladder
