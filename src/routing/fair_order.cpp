#include "routing/fair_order.h"

#include <cmath>

namespace amaranthladder {

namespace {

/// Age at which a use counts 1/e. An upstream gets some 20 requests a second of up to a hundred tenants, so a shorter
/// period would compare single requests; a longer one would punish a tenant for a burst that is over.
constexpr absl::Duration use_decay = absl::Seconds(10);
/// Above it, all counts are divided by the unit, which would otherwise leave the range of the type.
constexpr double max_unit = 1e12;
/// A tenant is short if less than this part of the share served of all is served of it. R-FAIR states 0.25.
constexpr double short_share = 0.4;
/// With fewer recent requests, a tenant's share is chance.
constexpr double min_offered = 4;

} // namespace

fair_order::tenant_index fair_order::index_of(const std::string& tenant, double weight) {
    const auto [found, is_new] = m_indexes.try_emplace(tenant, m_tenants.size());
    if (is_new) {
        m_tenants.emplace_back();
    }
    tenant_use& known = m_tenants[found->second];
    if (known.weight != weight) {
        m_stated_weights += (weight > 0 ? 1 : 0);
        m_stated_weights -= (known.weight > 0 ? 1 : 0);
        m_total.weight += weight - known.weight;
        known.weight = weight;
    }
    return found->second;
}

void fair_order::on_offered(tenant_index tenant, absl::Time now) {
    advance(now);
    m_tenants[tenant].offered += m_unit;
    m_total.offered += m_unit;
}

void fair_order::on_started(tenant_index tenant, absl::Time now) {
    advance(now);
    m_tenants[tenant].started += m_unit;
    m_total.started += m_unit;
}

bool fair_order::is_before(tenant_index left, tenant_index right) const {
    if (left == right) {
        return false;
    }
    const bool is_left_short = is_short(m_tenants[left]);
    if (is_left_short != is_short(m_tenants[right])) {
        return is_left_short;
    }
    return relative_use(m_tenants[left]) < relative_use(m_tenants[right]);
}

void fair_order::advance(absl::Time now) {
    if (m_updated_at != absl::InfinitePast() && now > m_updated_at) {
        m_unit *= std::exp(absl::FDivDuration(now - m_updated_at, use_decay));
    }
    m_updated_at = std::max(m_updated_at, now);
    if (m_unit < max_unit) {
        return;
    }
    const auto rescale = [this](tenant_use& counts) {
        counts.offered /= m_unit;
        counts.started /= m_unit;
    };
    for (tenant_use& tenant : m_tenants) {
        rescale(tenant);
    }
    rescale(m_total);
    m_unit = 1;
}

double fair_order::relative_use(const tenant_use& tenant) const {
    const double mean_weight = m_stated_weights > 0 ? m_total.weight / static_cast<double>(m_stated_weights) : 1;
    return tenant.started / (tenant.weight > 0 ? tenant.weight : mean_weight);
}

bool fair_order::is_short(const tenant_use& tenant) const {
    return tenant.offered >= min_offered * m_unit &&
           tenant.started * m_total.offered < short_share * m_total.started * tenant.offered;
}

} // namespace amaranthladder
