#pragma once

#include "daemon/intent_store_client.h"
#include "daemon/upstream_announcement.h"
#include "http/control_request.h"
#include "http/header_names.h"
#include "quota/quota_limits.h"
#include "routing/upstream_signals.h"
#include "settings/daemon_settings.h"
#include "store/store_connection_pool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranthladder {

/// Actions of the daemon that the platform's calls can trigger.
struct control_actions {
    /// @return true if the daemon accepts requests of callers.
    std::function<bool()> is_ready;
    /// Processes an announcement. @throws error if it is refused.
    std::function<void(const upstream_announcement&)> announce;
    /// Removes an upstream that reports that it has ended, or that it ends soon and accepts no new requests.
    std::function<void(const std::string& id)> withdraw;
};

/// Limits that a platform sets for the whole mesh. Zero means unknown.
struct mesh_limits {
    /// Time from the acknowledgement of a configuration until it must be active on all daemons.
    absl::Duration max_convergence_time;
    double store_reads_per_second = 0; ///< Capacity of the store for the whole mesh.
    /// Time from the request to stop until the platform kills a daemon that still runs.
    absl::Duration stop_grace;
    /// Time for which an upstream serves after its leaving has been acknowledged; no request may reach it later.
    absl::Duration upstream_drain;
    /// A cold upstream may get its cold rate times this, plus cold_slack, in any second.
    double cold_overage = 0;
    double cold_slack = 0; ///< In requests.
    quota_limits quota;    ///< Bound on the requests of tenants; defaults where the platform states none.
};

/// Response of an upstream to the question for its id.
struct upstream_identity {
    std::string id; ///< Empty if the upstream does not answer, is unhealthy or is leaving.
    int status = 0; ///< HTTP status; 0 if there was no complete response.
    http_call_failure failure = http_call_failure::none; ///< Why there was none.
    health_signals signals = {};
};

/// Everything that depends on the platform's interfaces. Created by the platform's adapter.
struct platform_interface {
    header_names headers;
    mesh_limits limits;
    std::vector<endpoint> seeds; ///< Peer addresses to join through, in addition to those of the settings.

    /// Answers a request to the readiness or announcement address.
    std::function<control_reply(const control_request&, const control_actions&)> answer;

    /// Queries the id of the upstream at an address. Blocks for less than a second, whatever the upstream sends.
    std::function<upstream_identity(const endpoint& upstream)> query_upstream_id;

    /// Creates the client of the platform's store.
    std::function<std::unique_ptr<store_client>(intent_store_callbacks, const steady_clock&, event_log&)> connect_store;
};

} // namespace amaranthladder
