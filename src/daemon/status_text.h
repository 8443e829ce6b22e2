#pragma once

#include "common/steady_clock.h"
#include "config/configuration_holder.h"
#include "config/snapshot.h"
#include "daemon/active_configuration.h"
#include "daemon/announced_upstreams.h"
#include "daemon/store_follower.h"
#include "http/proxy_statistics.h"
#include "moves/move_status.h"
#include "peers/member.h"
#include "peers/peer_server.h"
#include "quota/quota_node.h"
#include "settings/daemon_settings.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// State of a daemon, as shown by `status` and the metrics.
struct daemon_status {
    daemon_settings::daemon_section identity;
    absl::Time now;
    absl::Time started_at;
    bool is_draining = false;
    std::shared_ptr<const snapshot> configuration;
    std::optional<absl::Time> configuration_applied_at;
    std::optional<snapshot_refusal> refusal;
    std::uint64_t newest_heard_version = 0;
    store_status store;
    std::vector<member> members;
    bool is_joined = false;
    peer_counters traffic;
    std::map<std::string, announced_upstreams::upstream> local_upstreams;
    std::size_t upstreams_known = 0;
    std::vector<move_status> moves;
    proxy_counters requests;
    quota_report quotas;
    std::uint64_t dropped_log_lines = 0;
};

/// @return total of control-plane bytes sent and received.
std::uint64_t control_bytes(const peer_counters& traffic);

/// @return @p status as JSON; docs/interfaces.md defines the format.
std::string status_json(const daemon_status& status);

/// @return @p status in the Prometheus text format.
std::string metrics_text(const daemon_status& status);

/// @return the status of a move as JSON, for `explain`.
std::string move_json(const move_status& status);

/// @param request `METHOD PATH`.
/// @param decision log line of the routing decision.
/// @return request and decision as JSON, for `explain`.
std::string decision_json(const std::string& request, const std::string& decision);

/// @return the route, its service, share and move as JSON, each with the file and line of its declaration.
/// @throws error with result_code::no_route for an unknown name.
std::string route_json(const snapshot& configuration, const std::string& route_name);

} // namespace amaranthladder
