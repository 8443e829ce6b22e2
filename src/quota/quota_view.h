#pragma once

#include "common/endpoint.h"
#include "peers/member.h"

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// Daemons that an entry asks for the tokens of a tenant.
struct quota_candidates {
    std::optional<endpoint> coordinator;
    std::optional<endpoint> second;
};

/// The members of the mesh as this daemon sees them, ranked for each tenant by rendezvous hashing.
class quota_view {
public:
    /// A member that ranks above this daemon for some tenant.
    struct rival {
        endpoint address;
        member_state state = member_state::alive;
        absl::Time joined_at = absl::InfinitePast(); ///< When this daemon learned of it, if it has joined since.
    };

    /// Time after which a daemon that has joined counts as the coordinator even if it has not claimed the bucket: it
    /// has learned the fleet after settle_time of quota_node, and gossip takes up to a second.
    static constexpr absl::Duration newcomer_time = absl::Seconds(5);

    /// @param self peer address of this daemon, which always counts as alive.
    explicit quota_view(const endpoint& self);

    void update(const std::vector<member>& members, absl::Time now);

    /// @param is_silent tells of a member that it does not answer; such a one is not returned as the second.
    /// @return the two highest-ranked members that are alive or suspected.
    quota_candidates candidates(const std::string& tenant,
                                absl::FunctionRef<bool(const endpoint&)> is_silent = never) const;

    /// @return the highest-ranked other member that is alive and not new; the one that a joining or leaving daemon
    /// takes for the tenant's coordinator without itself.
    std::optional<endpoint> successor(const std::string& tenant, absl::Time now) const;

    /// @return the highest-ranked other members that are alive, at most @p count.
    std::vector<endpoint> best_others(const std::string& tenant, std::size_t count) const;

    /// @return true if @p other, a member or not, ranks above this daemon.
    bool is_above(const endpoint& other, const std::string& tenant) const;

    /// @return true if @p address is a member that is neither dead nor has left.
    bool is_member(const endpoint& address) const;

    /// @return all members that rank above this daemon, dead ones included, but not those that have left.
    std::vector<rival> rivals(const std::string& tenant) const;

    bool is_alive(const endpoint& address) const {
        return !m_lost.contains(address);
    }

    /// @return a member other than this daemon that is alive, or null.
    const endpoint* random_other(absl::BitGenRef random) const;

    /// @return the most members known in the last ten minutes, dead ones included, but not those that have left.
    std::size_t size() const {
        return m_size;
    }

    /// @return the members considered alive, including this daemon.
    std::size_t alive() const {
        return m_alive;
    }

    /// @return the number of updates that changed something.
    std::uint64_t version() const {
        return m_version;
    }

    /// @return when this daemon last learned of a member that it did not know.
    absl::Time last_new() const {
        return m_last_new;
    }

    /// @return when this daemon last learned that a member is suspected or dead, which may make it a coordinator.
    absl::Time last_loss() const {
        return m_last_loss;
    }

private:
    static bool never(const endpoint& /*member*/) {
        return false;
    }

    struct ranked {
        endpoint address;
        std::uint64_t hash = 0;
        member_state state = member_state::alive;
        absl::Time joined_at = absl::InfinitePast();

        friend bool operator==(const ranked&, const ranked&) = default;
    };

    /// Members that an entry asks for a tenant, the highest-ranked first. With a quarter of the fleet out of reach, one
    /// of the five highest-ranked is in reach in 999 of 1,000 cases.
    static constexpr std::size_t ranks_considered = 5;
    using ranking = std::array<const ranked*, ranks_considered>;

    const ranking& rank(const std::string& tenant) const;

    endpoint m_self;
    std::uint64_t m_self_hash;
    std::vector<ranked> m_members;
    std::set<endpoint> m_lost; ///< Members that are suspected or dead.
    std::set<endpoint> m_dead;
    /// When this daemon learned of each member that has not left; in the infinite past if it may have run for long.
    std::map<endpoint, absl::Time> m_known;
    /// By tenant, until the members change. Without it each ask costs 36 us at 12,000 members.
    mutable absl::flat_hash_map<std::string, ranking> m_rankings;
    std::size_t m_size = 1;
    std::size_t m_alive = 1;
    std::uint64_t m_version = 0;
    std::optional<absl::Time> m_first_update;      ///< With other members.
    absl::Time m_size_time = absl::InfinitePast(); ///< When m_size was last as large.
    absl::Time m_last_loss = absl::InfinitePast();
    absl::Time m_last_new = absl::InfinitePast();
};

} // namespace amaranthladder
