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

/// Order and encoding of upstream records for replicated_table.
struct upstream_traits {
    std::string key(const upstream_record& value) const;

    /// @return the record with the higher (incarnation, sequence). Two daemons that announce one id could give both the
    ///         same order; then the greater encoding wins, so that all daemons choose the same record.
    upstream_record merge(const upstream_record& stored, const upstream_record& received) const;
    std::string encode(const upstream_record& value) const;
    std::optional<upstream_record> decode(std::string_view bytes) const;
    bool is_tombstone(const upstream_record& value) const;
};

/// @return true if @p left is ordered after @p right by (incarnation, sequence).
bool is_newer(const upstream_record& left, const upstream_record& right);

/// The announced upstreams of the mesh.
class upstream_directory {
public:
    using table_type = replicated_table<upstream_record, upstream_traits>;

    /// Says since when the owner at an HTTP address has been dead: the infinite future if it is not dead, nothing if it
    /// is unknown.
    using owner_query = std::function<std::optional<absl::Time>(const endpoint& http_address)>;

    /// @param retention how long tombstones are kept.
    explicit upstream_directory(absl::Duration retention);

    /// @return true if the directory changed.
    bool merge(const upstream_record& received, absl::Time now, absl::Duration tombstone_age = absl::ZeroDuration());

    /// Forgets expired tombstones.
    void expire(absl::Time now);

    /// Drops records whose owner has been dead, or unknown to every sweep, for @p limit. They are not withdrawn: the
    /// owner may be alive on the other side of a partition, and then brings them back.
    void sweep(std::size_t bucket, const owner_query& owner_dead_since, absl::Duration limit, absl::Time now);

    /// Forgets everything.
    void clear();

    /// @return the upstreams of @p service that may get requests.
    std::vector<upstream_record> usable(const std::string& service, const owner_query& owner_dead_since) const;

    /// @return the record of @p id, tombstones included, or null.
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
