#pragma once

#include "daemon/intent_store_client.h"
#include "daemon/upstream_announcement.h"
#include "http/control_request.h"
#include "http/header_names.h"
#include "settings/daemon_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranthladder {

/// What the platform's calls to a daemon can do.
struct control_actions {
    /// @return true if callers may send requests here.
    std::function<bool()> is_ready;
    /// Takes an upstream's announcement. @throws error if it is refused.
    std::function<void(const upstream_announcement&)> announce;
    /// Takes an upstream's word that it has ended, or ends soon and takes no new work.
    std::function<void(const std::string& id)> withdraw;
};

/// Limits that a platform sets for the whole mesh. A zero or absent value leaves the daemon's own settings.
struct mesh_limits {
    absl::Duration
        max_convergence_time;          ///< A configuration is in force everywhere this long after its acknowledgement.
    double store_reads_per_second = 0; ///< What the store serves to the whole mesh.
};

/// Everything that differs on a platform with interfaces of its own. Built by the platform's adapter.
struct platform_interface {
    header_names headers;
    mesh_limits limits;
    std::vector<endpoint> seeds; ///< Peer addresses to join through, beside those of the settings.

    /// Answers a call to the readiness or announcement address.
    std::function<control_reply(const control_request&, const control_actions&)> answer;

    /// Asks a healthy upstream for its id. Blocks for a fraction of a second at the most.
    /// @return the id, or nothing if the upstream does not answer, is not well or is leaving.
    std::function<std::optional<std::string>(const endpoint& upstream)> query_upstream_id;

    /// Connects with the platform's store.
    std::function<std::unique_ptr<store_client>(intent_store_callbacks, const steady_clock&, event_log&)> connect_store;
};

} // namespace amaranthladder
