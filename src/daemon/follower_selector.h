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
    /// Fraction of the store's reads per second that one change may use. In a fleet of at most that many daemons, every
    /// daemon follows the store.
    double change_read_fraction = 0.004;
    /// Followers per data centre in a larger fleet; two tolerate the loss of one.
    int followers_per_data_center = 2;
    /// Daemons of a small fleet that restart their watch immediately after a change; the others may delay theirs. One
    /// remains if one or two hosts, or their connections to the store, are lost.
    int immediate_followers = 3;
    /// Fraction of the maximum convergence time without contact to a follower after which a daemon reads the store
    /// itself. The remaining time is for that call. At three probe rounds per second, contact is renewed within half of
    /// this timeout.
    double contact_timeout_fraction = 0.45;
    /// Fraction of the maximum convergence time for which a daemon waits for a newer version that its peers announced,
    /// before it reads the store itself.
    double lag_timeout_fraction = 0.2;
};

/// Why a daemon follows the store itself, or relies on other daemons.
enum class follow_reason { small_fleet, chosen, no_contact, behind, others_follow };

/// @return the reason as written to the log.
std::string_view name(follow_reason reason);

/// Selects the daemons that follow the store; the others get changes from their peers.
///
/// Every daemon ranks the members of its data centre by a hash of their addresses, so daemons that know the same
/// members select the same followers without coordination. A daemon that is not selected relies on its peers only while
/// it has contact with a follower of its data centre and is not behind the version of its peers.
class follower_selector {
public:
    /// @param self peer address of this daemon.
    /// @param data_center its data centre.
    /// @param store_reads_per_second reads per second that the store can serve; 0 if unknown.
    /// @param max_convergence_time time in which a configuration must reach all daemons; if zero (unknown), all daemons
    ///        follow the store.
    follower_selector(endpoint self, std::string data_center, double store_reads_per_second,
                      absl::Duration max_convergence_time, const follower_selector_policy& policy = {});

    /// Updates the selection.
    /// @param alive members in state alive, including this daemon.
    /// @return true if followers() changed.
    bool update_members(const std::vector<member>& alive);

    /// Updates the lag behind the peers.
    /// @param held configuration version of this daemon.
    /// @param heard newest version that a peer has announced.
    void record_versions(std::uint64_t held, std::uint64_t heard, absl::Time now);

    /// @return the followers that this daemon relies on; empty if it follows the store itself.
    const std::vector<endpoint>& followers() const {
        return m_followers;
    }

    /// @param silence time since the last message in which one of followers() stated that it follows the store.
    follow_reason reason(absl::Duration silence, absl::Time now) const;

    /// @param rank number of alive daemons that precede this one in an order on which all daemons agree.
    /// @return true if this daemon may delay its watch after a change, because others see the next change immediately
    ///         and distribute it.
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
