#pragma once

#include "peers/replicated_table.h"
#include "peers/upstream_record.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Key, merge order and encoding of upstream records for replicated_table.
struct upstream_traits {
    std::string key(const upstream_record& value) const;

    /// @return the record with the higher (incarnation, sequence). Two daemons that announce the same id may produce
    ///         records with equal values; the greater encoding then wins, so that all daemons choose the same record.
    upstream_record merge(const upstream_record& stored, const upstream_record& received) const;
    std::string encode(const upstream_record& value) const;
    std::optional<upstream_record> decode(std::string_view bytes) const;
    bool is_tombstone(const upstream_record& value) const;
};

/// @return true if @p left is ordered after @p right by (incarnation, sequence).
bool is_newer(const upstream_record& left, const upstream_record& right);

/// The replicated table of announced upstreams, indexed by service.
class upstream_directory {
public:
    using table_type = replicated_table<upstream_record, upstream_traits>;

    /// Returns the time since which the owner at an HTTP address has been dead: infinite future if it is not dead,
    /// empty if it is unknown.
    using owner_query = std::function<std::optional<absl::Time>(const endpoint& http_address)>;

    /// @param retention time for which tombstones are kept.
    explicit upstream_directory(absl::Duration retention);

    /// Merges a record.
    /// @param tombstone_age time since @p received was written, if it is a tombstone.
    /// @return true if the directory changed.
    bool merge(const upstream_record& received, absl::Time now, absl::Duration tombstone_age = absl::ZeroDuration());

    /// Removes expired tombstones.
    void expire(absl::Time now);

    /// Drops the records in @p bucket whose owner is unknown or has been dead for @p limit. No tombstone is written:
    /// the owner may be alive on the other side of a partition, and its records return when the partition heals.
    void sweep(std::size_t bucket, const owner_query& owner_dead_since, absl::Duration limit, absl::Time now);

    /// Removes all records.
    void clear();

    /// @return the upstreams of @p service that may receive requests.
    std::vector<upstream_record> usable(const std::string& service, const owner_query& owner_dead_since) const;

    /// @return the record of @p id, which may be a tombstone, or null if there is none.
    const upstream_record* find(const std::string& id) const;

    const table_type& table() const {
        return m_table;
    }

private:
    void set_indexed(const std::string& service, const std::string& id, bool is_indexed);

    table_type m_table;
    absl::flat_hash_map<std::string, std::set<std::string>> m_ids_by_service;
};

} // namespace amaranthladder
