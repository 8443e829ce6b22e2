#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Orders tenants at one upstream by their recent use relative to their allowances. Does no I/O; the time is an
/// argument.
///
/// A tenant that leaves its share unused is not paid back later: use decays, and only tenants that have a request
/// waiting are compared, so unused shares go to those. Requests without a tenant count as those of one more tenant.
class fair_order {
public:
    /// Index of a tenant, valid as long as the object.
    using tenant_index = std::size_t;

    /// @param tenant name of the tenant; empty for requests without one.
    /// @param weight requests per second that the tenant is allowed; 0 if not stated, for the mean of the others.
    tenant_index index_of(const std::string& tenant, double weight);

    /// Records that a request was offered.
    void on_offered(tenant_index tenant, absl::Time now);

    /// Records that a request started.
    void on_started(tenant_index tenant, absl::Time now);

    /// @return true if requests of @p left go before those of @p right. A tenant of which much less is served than of
    ///         all goes first, then the one with the least use relative to its allowance.
    bool is_before(tenant_index left, tenant_index right) const;

private:
    struct tenant_use {
        double weight = 0;
        double offered = 0; ///< In units of m_unit, which grow with time instead of the counts decaying.
        double started = 0;
    };

    void advance(absl::Time now);
    double relative_use(const tenant_use& tenant) const;
    bool is_short(const tenant_use& tenant) const;

    absl::flat_hash_map<std::string, tenant_index> m_indexes;
    std::vector<tenant_use> m_tenants;
    tenant_use m_total; ///< Its weight is the sum of the stated ones.
    std::size_t m_stated_weights = 0;
    double m_unit = 1; ///< What one request counts now.
    absl::Time m_updated_at = absl::InfinitePast();
};

} // namespace amaranthladder
