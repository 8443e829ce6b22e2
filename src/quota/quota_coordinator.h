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
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
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

/// The inputs of an answer quota_status::none. For the log.
struct quota_none_report {
    std::string tenant;
    double rate = 0;         ///< Tokens a second at the full fraction.
    double fraction = 0;     ///< Of the fleet that this daemon sees.
    double served = 0;       ///< Fraction of the rate at which the bucket fills.
    std::size_t entries = 0; ///< Entries that use another daemon's tokens.
    double tokens = 0;       ///< In the bucket; negative if others have granted more than it held.
    std::uint32_t wanted = 0;
};

/// This daemon has become, or ceased to be, the coordinator of a tenant. For the log.
struct quota_role_change {
    std::string tenant;
    bool is_coordinator = false;
    double fraction = 0;
};

/// Grants tokens for the tenants whose coordinator this daemon is, or for which it is asked in the coordinator's place.
///
/// It is in charge of a tenant if all members that rank above it are dead, or suspected and silent, or have joined and
/// not claimed the tenant's bucket yet. Its bucket fills at the fraction of the fleet that it can see; what others
/// grant in its place, they tell it, and it subtracts it. Otherwise only those entries count that have asked it
/// recently: they got no answer from the coordinator and therefore use none of its tokens.
///
/// A daemon that joins claims the bucket of a tenant from the daemons that rank next, and is in charge when they have
/// yielded it. A daemon that leaves hands its buckets over.
class quota_coordinator {
public:
    /// @param view and @param reach outlive this object.
    /// @param first_id start of the numbers of transfers; random, and not that of the asks.
    quota_coordinator(const quota_limits& limits, const quota_view& view, const reach_estimator& reach,
                      std::uint64_t first_id);

    /// Sets the configuration. A lowered limit applies at once.
    void set_configuration(std::shared_ptr<const intended_state> configuration);

    /// @param now time at which this daemon has learned the fleet.
    void join(absl::Time now);

    /// Hands all buckets over; this daemon grants no more.
    void leave(absl::Time now);

    void receive(const quota_transfer& transfer, const endpoint& from, absl::Time now);

    struct outgoing_transfer {
        endpoint to;
        quota_transfer transfer;
    };

    /// @return transfers to send. One without an address is for the tenant's coordinator as this daemon's entry side
    /// sees it.
    std::vector<outgoing_transfer> take_transfers() {
        return std::exchange(m_transfers, {});
    }

    std::vector<quota_none_report> take_none_reports() {
        return std::exchange(m_none_reports, {});
    }

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
        explicit tenant_state(const quota_bucket& initial) : bucket(initial) {}

        quota_bucket bucket;
        std::optional<std::uint64_t> view_version; ///< Of `rivals`.
        std::vector<quota_view::rival> rivals;
        /// Entries that use another daemon's tokens while this one is in charge, else those that use this one's; until
        /// when they do so.
        std::map<endpoint, absl::Time> askers;
        enum class claim_state { needed, sent, done } claim = claim_state::done;
        absl::Time claim_started = absl::InfinitePast();
        absl::Time claim_repeated = absl::InfinitePast();
        std::vector<endpoint> claim_open; ///< Daemons that have not answered the claim.
        double claimed_tokens = 0;
        std::optional<endpoint> yielded_to; ///< The daemon that grants in place of this one.
        absl::Time yielded_at = absl::InfinitePast();
        std::map<endpoint, absl::Time> leaving; ///< Members that have handed their bucket over.
        bool is_in_charge = false;
        absl::Time asked_at = absl::InfinitePast();
        double refused = 0; ///< Tokens refused in about the last second.
    };

    tenant_state& state_of(const tenant& limited, absl::Time now);
    bool is_out(const quota_view::rival& other, absl::Time now) const;
    bool is_replaced(const tenant_state& state, const quota_view::rival& other, absl::Time now) const;
    bool has_yielded(const tenant_state& state, absl::Time now) const;
    /// @return true if this daemon has joined a running fleet and ranks first, but others may still grant.
    bool must_claim(const std::string& name, const tenant_state& state, absl::Time now) const;
    void run_claim(const std::string& name, tenant_state& state, absl::Time now);
    void take_over(const std::string& name, tenant_state& state, double tokens, absl::Time now);
    /// Tells the daemons that may be in charge what this one has granted in their place.
    void report_spent(const std::string& name, const tenant_state& state, std::uint32_t tokens);
    /// Passes a bucket on that another leaving daemon has handed over to this one.
    void forward(const quota_transfer& transfer, tenant_state& state, const endpoint& from, absl::Time now);
    quota_answer answer_wanted(const quota_ask& ask, tenant_state& state, absl::Time now);
    std::optional<endpoint> moved_to(const quota_ask& ask, const tenant_state& state, absl::Time now) const;
    bool is_repeated(const endpoint& from, std::uint64_t id) const {
        return m_recent.contains({from, id});
    }
    void forget_old(absl::Time now);
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
    struct recent_answer {
        absl::Time at;
        quota_answer answer;
    };

    struct handed_over {
        endpoint to;
        quota_transfer transfer;
        int left = 0; ///< Repetitions.
    };

    /// Answers of the last second by asking daemon and number, since asks are repeated.
    std::map<std::pair<endpoint, std::uint64_t>, recent_answer> m_recent;
    std::deque<std::pair<endpoint, std::uint64_t>> m_recent_order;
    std::vector<outgoing_transfer> m_transfers;
    std::vector<handed_over> m_handed_over;
    std::vector<quota_none_report> m_none_reports;
    std::uint64_t m_next_transfer;
    std::optional<absl::Time> m_joined_at;
    absl::Time m_handed_over_at = absl::InfinitePast();
    bool m_is_leaving = false;
    std::vector<quota_role_change> m_role_changes;
    quota_grant_counters m_counters;
    std::optional<absl::Time> m_settled_at;
    double m_fraction = 0;
    absl::Time m_updated = absl::InfinitePast();
    absl::Time m_last_ask = absl::InfinitePast();
    absl::Time m_in_use_since = absl::InfinitePast();
};

} // namespace amaranthladder
