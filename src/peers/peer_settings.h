#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Settings of a daemon's exchange with its peers. The defaults are those of the byte budget in docs/peers.md.
struct peer_settings {
    std::string mesh;            ///< Messages of another mesh are dropped.
    endpoint address;            ///< Address for messages between daemons, UDP and TCP.
    endpoint http_address;       ///< Owner address in the upstream records of this daemon.
    std::string data_center;     ///< Preferred for pulls.
    std::vector<endpoint> seeds; ///< Peer addresses that a starting daemon contacts; its own is ignored.

    absl::Duration probe_interval = absl::Seconds(1);
    absl::Duration probe_timeout = absl::Milliseconds(300); ///< After this, the probe goes through helpers as well.
    int indirect_probe_count = 3;
    int rounds_per_dead_probe = 4;      ///< Every how many rounds a member thought dead is probed in addition.
    double suspicion_multiplier = 4.0;  ///< Suspicion lasts this many probe intervals times log10(members + 9).
    double transmission_multiplier = 3; ///< A change is sent this many times log2(members + 1).

    /// Tombstones of withdrawn upstreams are kept this long.
    absl::Duration tombstone_retention = absl::Hours(2);
    /// Records of an owner that has been dead this long are dropped and refused. Must be under half of
    /// tombstone_retention, so that no daemon still holds a withdrawn record after the others forgot its tombstone.
    absl::Duration dead_owner_retention = absl::Minutes(30);
    /// Dead members are forgotten after this time. Must be above dead_owner_retention.
    absl::Duration dead_member_retention = absl::Hours(1);
    /// A starting daemon withdraws its earlier run's upstream record unless it is announced again within this time.
    absl::Duration announcement_grace = absl::Seconds(5);

    absl::Duration join_retry_initial = absl::Milliseconds(500);
    absl::Duration join_retry_max = absl::Seconds(15);

    int notify_fan_out = 5; ///< Peers told at once of a new configuration version or a leaving upstream.
    int notify_rounds = 2;  ///< Rounds of notifications after a new configuration version, for lost ones.
    absl::Duration notify_interval = absl::Milliseconds(200); ///< Least time between two rounds of notifications.
    double notify_per_second = 4; ///< Notifications sent in the long run; bounds the bytes when much changes at once.
    double notify_burst = 40;     ///< Notifications that may be sent at once.

    int concurrent_pulls = 3;
    absl::Duration pull_jitter = absl::Milliseconds(20);
    absl::Duration pull_hedge_delay = absl::Milliseconds(300); ///< Another pull starts when those running take longer.
    absl::Duration pull_backoff_initial = absl::Milliseconds(200);
    absl::Duration pull_backoff_max = absl::Seconds(4);

    /// Table roots differ most of the time while changes spread; repairs are rare enough to cost few bytes.
    absl::Duration repair_interval = absl::Seconds(60);
    absl::Duration join_repair_interval = absl::Seconds(1); ///< After a start; doubles up to repair_interval.

    absl::Duration rpc_connect_timeout = absl::Milliseconds(500);
    absl::Duration rpc_timeout = absl::Seconds(2); ///< Longest silence within a call.
    std::size_t rpc_threads = 4;                   ///< Calls of peers that are served at once.

    std::size_t max_queued_changes = 4096; ///< Changes waiting to be sent; repair covers what does not fit.
};

} // namespace amaranthladder
