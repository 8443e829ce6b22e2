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

/// How a replicated_table treats its records. `merge` must be a join: commutative, associative and idempotent. `encode`
/// must give the same bytes for equal records on every daemon.
template <typename Traits, typename Record>
concept table_traits = requires(const Traits& traits, const Record& record, std::string_view bytes) {
    { traits.key(record) } -> std::same_as<std::string>;
    { traits.merge(record, record) } -> std::same_as<Record>;
    { traits.encode(record) } -> std::same_as<std::string>;
    { traits.decode(bytes) } -> std::same_as<std::optional<Record>>;
    { traits.is_tombstone(record) } -> std::same_as<bool>;
};

/// A table of which every daemon holds a copy: records are merged in any order, and copies are compared by hashes.
///
/// A tombstone supersedes the live record and is kept for `retention`, counted from the moment it was written: its age
/// travels with it, so that all daemons forget it at about the same time and a late receiver does not restart its time.
/// It leaves the hashes, and is no longer sent in repairs, at half that time, so that daemons whose clocks run a little
/// apart never exchange a tombstone that one of them has already forgotten. A stale live record is therefore refused as
/// long as every daemon that could still hold it has been in contact, or has dropped it, within `retention`; peer_node
/// ensures that (see dead_owner_retention).
template <typename Record, typename Traits>
requires table_traits<Traits, Record>
class replicated_table {
public:
    /// A record with what the table knows of it.
    struct entry {
        Record record;
        std::uint64_t record_hash = 0;
        absl::Time tombstone_since = absl::InfiniteFuture(); ///< Infinite future for a live record.
        bool is_in_digest = true;
    };

    /// @param traits how records are treated.
    /// @param retention how long tombstones are kept.
    explicit replicated_table(Traits traits, absl::Duration retention)
        : m_traits(std::move(traits)), m_retention(retention) {}

    /// Merges @p heard into the table.
    /// @param tombstone_age how long ago @p heard was written, if it is a tombstone.
    /// @return true if the table changed.
    bool merge(const Record& heard, absl::Time now, absl::Duration tombstone_age = absl::ZeroDuration()) {
        const std::string key = m_traits.key(heard);
        const std::uint64_t key_hash = stable_hash(key);
        auto& bucket = m_entries[bucket_index::bucket_of(key_hash)];
        const auto found = bucket.find(key_hash);
        if (found == bucket.end()) {
            if (m_traits.is_tombstone(heard) && tombstone_age >= m_retention) {
                return false;
            }
            insert(key_hash, heard, now - tombstone_age);
            return true;
        }
        // Two keys with the same 64-bit hash: the later one is not taken. 12,000 keys make this a chance of 4e-12.
        if (m_traits.key(found->second.record) != key) {
            return false;
        }
        Record merged = m_traits.merge(found->second.record, heard);
        if (merged == found->second.record) {
            return false;
        }
        erase(key_hash);
        insert(key_hash, std::move(merged), now - tombstone_age);
        return true;
    }

    /// Takes tombstones out of the hashes at half the retention and forgets them at its end.
    void expire(absl::Time now) {
        while (!m_leaving_digest.empty() && m_leaving_digest.begin()->first + m_retention / 2 <= now) {
            leave_digest(*m_leaving_digest.begin());
            m_leaving_digest.erase(m_leaving_digest.begin());
        }
        while (!m_forgotten_next.empty() && m_forgotten_next.begin()->first + m_retention <= now) {
            const auto [since, key_hash] = *m_forgotten_next.begin();
            m_forgotten_next.erase(m_forgotten_next.begin());
            if (const entry* held = find_hash(key_hash); held != nullptr && held->tombstone_since == since) {
                erase(key_hash);
            }
        }
    }

    /// Drops a record without a tombstone; a peer may bring it back.
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
        m_leaving_digest.clear();
        m_forgotten_next.clear();
        m_size = 0;
    }

    const entry* find(const std::string& key) const {
        const entry* held = find_hash(stable_hash(key));
        return held != nullptr && m_traits.key(held->record) == key ? held : nullptr;
    }

    /// @return the entry of the key with @p key_hash, or null.
    const entry* find_hash(std::uint64_t key_hash) const {
        const auto& bucket = m_entries[bucket_index::bucket_of(key_hash)];
        const auto found = bucket.find(key_hash);
        return found == bucket.end() ? nullptr : &found->second;
    }

    /// Calls @p visit with each entry; @p visit must not change the table.
    template <typename Visit> void for_each(Visit&& visit) const {
        for (const auto& bucket : m_entries) {
            for (const auto& [key_hash, held] : bucket) {
                visit(held);
            }
        }
    }

    /// Calls @p visit with each entry of @p bucket; @p visit must not change the table.
    template <typename Visit> void for_each_in_bucket(std::size_t bucket, Visit&& visit) const {
        for (const auto& [key_hash, held] : m_entries[bucket]) {
            visit(held);
        }
    }

    /// Calls @p visit(key_hash, entry) with each entry of @p bucket that is part of the hashes.
    template <typename Visit> void for_each_in_digest(std::size_t bucket, Visit&& visit) const {
        for (const auto& [key_hash, held] : m_entries[bucket]) {
            if (held.is_in_digest) {
                visit(key_hash, held);
            }
        }
    }

    /// @return how long ago the tombstone @p held was written; zero for a live record.
    static absl::Duration age(const entry& held, absl::Time now) {
        return held.tombstone_since == absl::InfiniteFuture() ? absl::ZeroDuration() : now - held.tombstone_since;
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
    using deadline = std::pair<absl::Time, std::uint64_t>;

    void insert(std::uint64_t key_hash, Record record, absl::Time written) {
        const bool is_tombstone = m_traits.is_tombstone(record);
        entry added{std::move(record), 0, is_tombstone ? written : absl::InfiniteFuture(), true};
        added.record_hash = stable_hash(m_traits.encode(added.record));
        m_index.add(key_hash, added.record_hash);
        m_entries[bucket_index::bucket_of(key_hash)].insert_or_assign(key_hash, std::move(added));
        ++m_size;
        if (is_tombstone) {
            m_leaving_digest.emplace(written, key_hash);
            m_forgotten_next.emplace(written, key_hash);
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

    void leave_digest(const deadline& due) {
        auto& bucket = m_entries[bucket_index::bucket_of(due.second)];
        const auto found = bucket.find(due.second);
        if (found != bucket.end() && found->second.tombstone_since == due.first && found->second.is_in_digest) {
            found->second.is_in_digest = false;
            m_index.remove(due.second, found->second.record_hash);
        }
    }

    Traits m_traits;
    absl::Duration m_retention;
    std::array<absl::flat_hash_map<std::uint64_t, entry>, bucket_index::bucket_count> m_entries;
    bucket_index m_index;
    std::size_t m_size = 0;
    std::multimap<absl::Time, std::uint64_t> m_leaving_digest;
    std::multimap<absl::Time, std::uint64_t> m_forgotten_next;
};

} // namespace amaranthladder
