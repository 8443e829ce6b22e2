#pragma once

#include "common/stable_hash.h"
#include "peers/bucket_index.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthladder {

/// Operations of a replicated_table on its records. `merge` must be a join: commutative, associative and idempotent.
/// `encode` must produce the same bytes for equal records on every daemon.
template <typename Traits, typename Record>
concept table_traits = requires(const Traits& traits, const Record& record, std::string_view bytes) {
    { traits.key(record) } -> std::same_as<std::string>;
    { traits.merge(record, record) } -> std::same_as<Record>;
    { traits.encode(record) } -> std::same_as<std::string>;
    { traits.decode(bytes) } -> std::same_as<std::optional<Record>>;
    { traits.is_tombstone(record) } -> std::same_as<bool>;
};

/// Table that is replicated to every daemon. Records are merged in any order, and replicas are compared by hashes.
///
/// A tombstone supersedes the live record and is kept for `retention` from the time it was written. Its age is sent
/// with it, so that all daemons remove it at about the same time and a late receiver does not restart the period. After
/// half of the retention it is excluded from the hashes and from repairs, so that daemons with slightly different
/// clocks do not exchange a tombstone that one of them has already removed. A stale live record is therefore rejected
/// as long as every daemon that may still have it was in contact, or dropped it, within `retention`; peer_node ensures
/// this (see dead_owner_retention).
template <typename Record, typename Traits>
requires table_traits<Traits, Record>
class replicated_table {
public:
    /// A record with its metadata.
    struct entry {
        Record record;
        std::uint64_t record_hash = 0;
        absl::Time tombstone_since =
            absl::InfiniteFuture(); ///< Time it was written; infinite future for a live record.
        bool is_in_digest = true;
    };

    /// @param traits the operations on records.
    /// @param retention time for which tombstones are kept.
    explicit replicated_table(Traits traits, absl::Duration retention)
        : m_traits(std::move(traits)), m_retention(retention) {}

    /// Merges @p received into the table.
    /// @param tombstone_age time since @p received was written, if it is a tombstone.
    /// @return true if the table changed.
    bool merge(const Record& received, absl::Time now, absl::Duration tombstone_age = absl::ZeroDuration()) {
        const std::string key = m_traits.key(received);
        const std::uint64_t key_hash = stable_hash(key);
        auto& bucket = m_entries[bucket_index::bucket_of(key_hash)];
        const auto found = bucket.find(key_hash);
        if (found == bucket.end()) {
            if (m_traits.is_tombstone(received) && tombstone_age >= m_retention) {
                return false;
            }
            insert(key_hash, received, now - tombstone_age);
            return true;
        }
        // Hash collision: the record received later is not stored. The probability is 4e-12 for 12,000 keys.
        if (m_traits.key(found->second.record) != key) {
            return false;
        }
        Record merged = m_traits.merge(found->second.record, received);
        if (merged == found->second.record) {
            return false;
        }
        erase(key_hash);
        insert(key_hash, std::move(merged), now - tombstone_age);
        return true;
    }

    /// Excludes tombstones from the hashes after half of the retention and removes them at its end.
    void expire(absl::Time now) {
        while (!m_digest_exclusions.empty() && m_digest_exclusions.begin()->first + m_retention / 2 <= now) {
            exclude_from_digest(*m_digest_exclusions.begin());
            m_digest_exclusions.erase(m_digest_exclusions.begin());
        }
        while (!m_tombstone_expirations.empty() && m_tombstone_expirations.begin()->first + m_retention <= now) {
            const auto [since, key_hash] = *m_tombstone_expirations.begin();
            m_tombstone_expirations.erase(m_tombstone_expirations.begin());
            if (const entry* stored = find_by_hash(key_hash); stored != nullptr && stored->tombstone_since == since) {
                erase(key_hash);
            }
        }
    }

    /// Removes a record without leaving a tombstone; a peer may send it again.
    void drop(const std::string& key) {
        if (find(key) != nullptr) {
            erase(stable_hash(key));
        }
    }

    void clear() {
        for (auto& bucket : m_entries) {
            bucket.clear();
        }
        m_index = bucket_index();
        m_digest_exclusions.clear();
        m_tombstone_expirations.clear();
        m_size = 0;
    }

    const entry* find(const std::string& key) const {
        const entry* stored = find_by_hash(stable_hash(key));
        return stored != nullptr && m_traits.key(stored->record) == key ? stored : nullptr;
    }

    /// @return the entry of the key with @p key_hash, or null if there is none.
    const entry* find_by_hash(std::uint64_t key_hash) const {
        const auto& bucket = m_entries[bucket_index::bucket_of(key_hash)];
        const auto found = bucket.find(key_hash);
        return found == bucket.end() ? nullptr : &found->second;
    }

    /// Calls @p visit with each entry; @p visit must not change the table.
    template <typename Visit> void for_each(Visit&& visit) const {
        for (const auto& bucket : m_entries) {
            for (const auto& [key_hash, stored] : bucket) {
                visit(stored);
            }
        }
    }

    /// Calls @p visit with each entry of @p bucket; @p visit must not change the table.
    template <typename Visit> void for_each_in_bucket(std::size_t bucket, Visit&& visit) const {
        for (const auto& [key_hash, stored] : m_entries[bucket]) {
            visit(stored);
        }
    }

    /// Calls @p visit(key_hash, entry) with each entry of @p bucket that is included in the hashes.
    template <typename Visit> void for_each_in_digest(std::size_t bucket, Visit&& visit) const {
        for (const auto& [key_hash, stored] : m_entries[bucket]) {
            if (stored.is_in_digest) {
                visit(key_hash, stored);
            }
        }
    }

    /// @return the time since the tombstone @p stored was written; zero for a live record.
    static absl::Duration age(const entry& stored, absl::Time now) {
        return stored.tombstone_since == absl::InfiniteFuture() ? absl::ZeroDuration() : now - stored.tombstone_since;
    }

    const bucket_index& index() const {
        return m_index;
    }

    const Traits& traits() const {
        return m_traits;
    }

    std::size_t size() const {
        return m_size;
    }

private:
    using tombstone_ref = std::pair<absl::Time, std::uint64_t>; ///< Time written, hash of the key.

    void insert(std::uint64_t key_hash, Record record, absl::Time written) {
        const bool is_tombstone = m_traits.is_tombstone(record);
        entry added{std::move(record), 0, is_tombstone ? written : absl::InfiniteFuture(), true};
        added.record_hash = stable_hash(m_traits.encode(added.record));
        m_index.add(key_hash, added.record_hash);
        m_entries[bucket_index::bucket_of(key_hash)].insert_or_assign(key_hash, std::move(added));
        ++m_size;
        if (is_tombstone) {
            m_digest_exclusions.emplace(written, key_hash);
            m_tombstone_expirations.emplace(written, key_hash);
        }
    }

    void erase(std::uint64_t key_hash) {
        auto& bucket = m_entries[bucket_index::bucket_of(key_hash)];
        const auto found = bucket.find(key_hash);
        if (found->second.is_in_digest) {
            m_index.remove(key_hash, found->second.record_hash);
        }
        bucket.erase(found);
        --m_size;
    }

    void exclude_from_digest(const tombstone_ref& tombstone) {
        auto& bucket = m_entries[bucket_index::bucket_of(tombstone.second)];
        const auto found = bucket.find(tombstone.second);
        if (found != bucket.end() && found->second.tombstone_since == tombstone.first && found->second.is_in_digest) {
            found->second.is_in_digest = false;
            m_index.remove(tombstone.second, found->second.record_hash);
        }
    }

    Traits m_traits;
    absl::Duration m_retention;
    std::array<absl::flat_hash_map<std::uint64_t, entry>, bucket_index::bucket_count> m_entries;
    bucket_index m_index;
    std::size_t m_size = 0;
    std::multimap<absl::Time, std::uint64_t> m_digest_exclusions;
    std::multimap<absl::Time, std::uint64_t> m_tombstone_expirations;
};

} // namespace amaranthladder
