#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Settings of the communication with peers. The defaults are those of the byte budget in docs/peers.md.
struct peer_settings {
    std::string mesh;            ///< Name of the mesh; messages of other meshes are dropped.
    endpoint address;            ///< UDP and TCP address for messages between daemons.
    endpoint http_address;       ///< Owner address in the upstream records of this daemon.
    std::string data_center;     ///< Data centre of this daemon; peers in it are preferred for pulls.
    std::vector<endpoint> seeds; ///< Peers to join through after a start; this daemon's own address is ignored.

    absl::Duration probe_interval = absl::Seconds(1);
    absl::Duration probe_timeout = absl::Milliseconds(300); ///< Time without an ack before indirect probes are sent.
    int indirect_probe_count = 3;
    int rounds_per_dead_probe = 4;      ///< A dead or left member is probed in addition once in this many rounds.
    double suspicion_multiplier = 4.0;  ///< Suspicion lasts this many probe intervals, times log10(members + 9).
    double transmission_multiplier = 3; ///< A change is sent this factor times log2(members + 1) times.

    /// Time for which tombstones of withdrawn upstreams are kept.
    absl::Duration tombstone_retention = absl::Hours(2);
    /// Upstream records are dropped and rejected once their owner has been dead for this time. Must not exceed half of
    /// tombstone_retention, so that no daemon still has a withdrawn record after the others removed its tombstone.
    absl::Duration dead_owner_retention = absl::Minutes(30);
    /// Time after which dead members are removed. Must exceed dead_owner_retention.
    absl::Duration dead_member_retention = absl::Hours(1);
    /// After a start, upstream records of this daemon's previous run are withdrawn unless they are announced again
    /// within this time.
    absl::Duration announcement_grace = absl::Seconds(5);

    absl::Duration join_retry_initial = absl::Milliseconds(500);
    absl::Duration join_retry_max = absl::Seconds(15);

    int notify_fan_out = 5; ///< Peers notified at once of a new configuration version or a leaving upstream.
    int notify_rounds = 2;  ///< Rounds of notifications for a new configuration version, in case some are lost.
    /// Rounds of notifications for an urgent record, sent by each daemon that learns of it.
    int urgent_rounds = 3;
    absl::Duration notify_interval = absl::Milliseconds(100); ///< Minimum time between two rounds of notifications.
    double notify_per_second = 20; ///< Sustained rate of notifications; bounds the bytes sent during many changes.
    double notify_burst = 120;     ///< Maximum number of notifications in a burst.

    int concurrent_pulls = 3;
    absl::Duration pull_jitter = absl::Milliseconds(20);
    /// Another pull is started if those running take longer.
    absl::Duration pull_hedge_delay = absl::Milliseconds(300);
    absl::Duration pull_backoff_initial = absl::Milliseconds(200);
    absl::Duration pull_backoff_max = absl::Seconds(4);

    /// While changes propagate, table roots differ most of the time; this interval limits the bytes spent on repairs.
    absl::Duration repair_interval = absl::Seconds(60);
    /// Initial repair interval after a start; doubles up to repair_interval.
    absl::Duration join_repair_interval = absl::Seconds(1);

    absl::Duration rpc_connect_timeout = absl::Milliseconds(500);
    absl::Duration rpc_timeout = absl::Seconds(2); ///< Send and receive timeout within a call.
    std::size_t rpc_threads = 4;                   ///< Maximum number of calls from peers served concurrently.

    std::size_t max_queued_changes = 4096; ///< Capacity of the gossip queue; table repair covers dropped changes.
};

} // namespace amaranthladder
