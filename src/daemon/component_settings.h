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

/// @name Conversion of the daemon's settings to the options of its components.
/// @{
event_log_options make_log_options(const daemon_settings& settings);
proxy_options make_proxy_options(const daemon_settings& settings);

/// As make_proxy_options(settings), with the header names and queue order of the platform.
/// @param platform may be null.
proxy_options make_proxy_options(const daemon_settings& settings, const platform_interface* platform);
/// @param requires_orders a new version gets requests only after an operator's order, not as soon as it is announced.
router_settings make_router_settings(const daemon_settings& settings, bool requires_orders = false);
retry_budget_policy make_retry_budget(const daemon_settings& settings);

/// @param http_address address of the data path to which other daemons send requests.
peer_settings make_peer_settings(const daemon_settings& settings, const endpoint& http_address);
/// @}

} // namespace amaranthladder
