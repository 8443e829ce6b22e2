#pragma once

#include "common/endpoint.h"
#include "peers/member.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Constants of follower_selector.
struct follower_selector_policy {
    /// Part of the store's reads a second that one change may cost; a fleet up to that size follows as a whole.
    double change_read_fraction = 0.008;
    /// A larger fleet has this many followers in each data centre: the loss of one leaves another.
    int followers_per_data_center = 2;
    /// In a small fleet this many daemons see each change at once; the others may rest after one. Enough that the loss
    /// of a host or two, or of their way to the store, leaves one.
    int immediate_followers = 3;
    /// Part of the time allowed for a configuration after which a daemon without contact reads the store itself. The
    /// rest is for that call; at three probe rounds a second, contact is renewed in half of this time.
    double contact_timeout_fraction = 0.45;
    /// Part of that time after which a daemon that has only heard of a newer configuration reads the store itself.
    double lag_timeout_fraction = 0.2;
};

/// Why a daemon follows the store or leaves that to others.
enum class follow_reason { small_fleet, chosen, no_contact, behind, others_follow };

/// @return the reason as written in the log.
std::string_view name(follow_reason reason);

/// Decides which daemons of a fleet follow the store's changes themselves.
///
/// All daemons rank the members of a data centre by a hash of their addresses, so they agree without a message as long
/// as they know the same members. A daemon that is not chosen relies on its peers only while it hears from a chosen one
/// of its data centre and holds what the peers hold.
class follower_selector {
public:
    /// @param self this daemon's address for its peers.
    /// @param data_center its data centre.
    /// @param store_reads_per_second what the store serves; 0 if unknown.
    /// @param max_convergence_time time after which a configuration must be in force everywhere; zero: unknown, and all
    ///        daemons follow.
    follower_selector(endpoint self, std::string data_center, double store_reads_per_second,
                      absl::Duration max_convergence_time, const follower_selector_policy& policy = {});

    /// Takes the living members, this daemon included.
    /// @return true if followers() changed.
    bool update_members(const std::vector<member>& alive);

    /// Takes the versions of the configuration that this daemon holds and that it has heard of.
    void record_versions(std::uint64_t held, std::uint64_t heard, absl::Time now);

    /// @return the daemons that follow for this one; none if it follows itself.
    const std::vector<endpoint>& followers() const {
        return m_followers;
    }

    /// @param silence time since one of followers() said that it follows the store.
    follow_reason reason(absl::Duration silence, absl::Time now) const;

    /// @param turn living daemons that come before this one in an order that all agree on.
    /// @return true if this daemon may see a change late, since others see it at once and tell it.
    bool may_delay_watch(int rank) const;

private:
    endpoint m_self;
    std::string m_data_center;
    follower_selector_policy m_policy;
    absl::Duration m_max_convergence_time;
    std::size_t m_small_fleet_limit;
    bool m_is_small_fleet = true;
    std::vector<endpoint> m_followers;
    absl::Time m_behind_since = absl::InfiniteFuture();
};

} // namespace amaranthladder
