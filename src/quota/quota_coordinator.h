#pragma once

#include "common/endpoint.h"
#include "config/intended_state.h"
#include "quota/quota_bucket.h"
#include "quota/quota_limits.h"
#include "quota/quota_message.h"
#include "quota/quota_view.h"
#include "quota/reach_estimator.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Counters of the tokens that this daemon has granted and refused to entries.
struct quota_grant_counters {
    std::uint64_t asks = 0;
    std::uint64_t granted = 0;
    std::uint64_t reserve_granted = 0;
    std::uint64_t refused_none = 0;    ///< Asks without a token, since the quota is used up.
    std::uint64_t refused_unknown = 0; ///< Asks that this daemon could not decide.
    std::uint64_t coordinator_changes = 0;
};

/// This daemon has become, or ceased to be, the coordinator of a tenant. For the log.
struct quota_role_change {
    std::string tenant;
    bool is_coordinator = false;
    double fraction = 0;
};

/// Grants tokens for the tenants whose coordinator this daemon is, or for which it is asked in the coordinator's place.
///
/// It is in charge of a tenant if all members that rank above it are dead, or suspected and silent. Its bucket fills at
/// the fraction of the fleet that it can see. Otherwise only those entries count that have asked it recently: they got
/// no answer from the coordinator and therefore use none of its tokens.
class quota_coordinator {
public:
    /// @param view and @param reach outlive this object.
    quota_coordinator(const quota_limits& limits, const quota_view& view, const reach_estimator& reach);

    /// Sets the configuration. A lowered limit applies at once.
    void set_configuration(std::shared_ptr<const intended_state> configuration);

    /// Starts to grant; until then all asks are answered with quota_status::unknown.
    void settle(absl::Time now);

    /// Empties all buckets: this process did not run for a while, and others may have taken over.
    void on_pause(absl::Time now);

    /// Updates the fraction of the fleet that this daemon sees.
    void tick(absl::Time now);

    quota_answer answer(const quota_ask& ask, const endpoint& from, absl::Time now);

    /// @return daemons whose silence this one must verify, since it acts in their place.
    std::vector<endpoint> rivals_to_probe(absl::Time now);

    /// @return true if an entry has asked recently.
    bool is_in_use(absl::Time now) const {
        return now - m_last_ask < use_memory;
    }

    std::vector<quota_role_change> take_role_changes();

    const quota_grant_counters& counters() const {
        return m_counters;
    }

    /// @return the fraction of the fleet that this daemon sees.
    double fraction() const {
        return m_fraction;
    }

    bool is_settled() const {
        return m_settled_at.has_value();
    }

    /// @return the number of tenants whose coordinator this daemon is at present.
    std::size_t coordinated() const;

private:
    static constexpr absl::Duration use_memory = absl::Seconds(10);

    struct tenant_state {
        quota_bucket bucket;
        std::optional<std::uint64_t> view_version; ///< Of `rivals`.
        std::vector<quota_view::rival> rivals;
        /// Entries that use another daemon's tokens while this one is in charge, else those that use this one's; until
        /// when they do so.
        std::map<endpoint, absl::Time> askers;
        bool is_in_charge = false;
        absl::Time asked_at = absl::InfinitePast();
        double refused = 0; ///< Tokens refused in about the last second.
    };

    tenant_state& state_of(const tenant& limited, absl::Time now);
    bool is_out(const quota_view::rival& other, absl::Time now) const;
    void update_role(const std::string& name, tenant_state& state, absl::Time now);
    double served_fraction(tenant_state& state, absl::Time now) const;
    static void count_asker(tenant_state& state, const quota_ask& ask, const endpoint& from, absl::Time now);
    /// @return true if at most one member that ranks above this daemon can grant tokens.
    bool may_use_reserve(const tenant_state& state, absl::Time now) const;
    /// @return the time since which no other daemon can have been in charge of a tenant that this one is in charge of.
    absl::Time in_charge_since() const;

    quota_limits m_limits;
    const quota_view& m_view;
    const reach_estimator& m_reach;
    std::shared_ptr<const intended_state> m_configuration;
    absl::flat_hash_map<std::string, std::unique_ptr<tenant_state>> m_tenants;
    std::vector<quota_role_change> m_role_changes;
    quota_grant_counters m_counters;
    std::optional<absl::Time> m_settled_at;
    double m_fraction = 0;
    absl::Time m_updated = absl::InfinitePast();
    absl::Time m_last_ask = absl::InfinitePast();
    absl::Time m_in_use_since = absl::InfinitePast();
};

} // namespace amaranthladder
