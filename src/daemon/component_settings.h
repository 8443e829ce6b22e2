#pragma once

#include "common/endpoint.h"
#include "common/event_log.h"
#include "daemon/platform_interface.h"
#include "http/proxy_options.h"
#include "peers/peer_settings.h"
#include "routing/retry_budget.h"
#include "routing/router.h"
#include "settings/daemon_settings.h"

namespace amaranthladder {

/// @name The daemon's settings in the form that each of its parts takes.
/// @{
event_log_options make_log_options(const daemon_settings& settings);
proxy_options make_proxy_options(const daemon_settings& settings);

/// As make_proxy_options(settings), with the names and limits of a platform, if there is one.
proxy_options make_proxy_options(const daemon_settings& settings, const platform_interface* platform);
/// @param requires_orders versions get requests only by orders, not by being announced.
router_settings make_router_settings(const daemon_settings& settings, bool requires_orders = false);
retry_budget_policy make_retry_budget(const daemon_settings& settings);

/// @param http_address address of the data path, which other daemons send requests to.
peer_settings make_peer_settings(const daemon_settings& settings, const endpoint& http_address);
/// @}

} // namespace amaranthladder
