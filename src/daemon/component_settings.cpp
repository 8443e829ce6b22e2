#include "daemon/component_settings.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Time that a daemon needs from the end of its drain until its process has ended: it closes its store connections,
/// joins its threads and tells the other daemons that it leaves.
constexpr absl::Duration max_shutdown_time = absl::Milliseconds(500);
/// The same as a fraction of the grace period, for platforms with a short one.
constexpr double max_shutdown_fraction = 1.0 / 12;

/// @return the time from the start of a drain after which the requests that are still in flight are given up.
absl::Duration drain_timeout(const daemon_settings& settings, const mesh_limits& limits) {
    if (limits.stop_grace <= absl::ZeroDuration()) {
        return settings.requests.drain_timeout;
    }
    const absl::Duration shutdown_time = std::min(max_shutdown_time, limits.stop_grace * max_shutdown_fraction);
    return std::min(settings.requests.drain_timeout, limits.stop_grace - shutdown_time);
}

/// @return the time for which requests are sent to an upstream that has said that it leaves.
absl::Duration upstream_drain_time(const daemon_settings& settings, const mesh_limits& limits) {
    if (limits.upstream_drain <= absl::ZeroDuration()) {
        return absl::InfiniteDuration();
    }
    // A request must have arrived by then, and its connection may have to be opened first.
    return std::max(absl::ZeroDuration(), limits.upstream_drain - settings.requests.connect_timeout);
}

} // namespace

event_log_options make_log_options(const daemon_settings& settings) {
    return {settings.log.level, settings.log.file, settings.log.queue_lines};
}

proxy_options make_proxy_options(const daemon_settings& settings) {
    proxy_options options;
    options.mesh = settings.daemon.mesh;
    options.worker = settings.daemon.worker;
    options.listen_address = settings.listen.requests;
    options.owner_address = settings.listen.owner;
    options.link_mbps = settings.host.link_mbps;
    options.max_nested_reserve = settings.routing.nested_reserve;
    options.caller_service = settings.daemon.service;
    options.max_connections = static_cast<std::size_t>(settings.requests.max_connections);
    options.max_header_bytes = settings.requests.max_header_bytes;
    options.body_buffer_bytes = settings.requests.body_buffer_bytes;
    options.max_requests_ahead = settings.requests.max_ahead;
    options.max_requests_ahead_total = settings.requests.max_ahead_total;
    options.connect_timeout = settings.requests.connect_timeout;
    options.first_byte_timeout = settings.requests.first_byte_timeout;
    options.header_timeout = settings.requests.header_timeout;
    options.keep_alive_timeout = settings.requests.keep_alive_timeout;
    options.body_idle_timeout = settings.requests.body_idle_timeout;
    options.max_idle_non_idempotent = settings.requests.idle_connection;
    options.default_timeout = settings.requests.default_timeout;
    options.drain_timeout = settings.requests.drain_timeout;
    return options;
}

proxy_options make_proxy_options(const daemon_settings& settings, const platform_interface* platform) {
    proxy_options options = make_proxy_options(settings);
    if (platform != nullptr) {
        options.headers = platform->headers;
        options.drain_timeout = drain_timeout(settings, platform->limits);
        options.upstream_drain_time = upstream_drain_time(settings, platform->limits);
        options.waiting_order = queue_order::target_first;
        if (platform->limits.cold_overage > 0) {
            options.cold = {platform->limits.cold_overage, platform->limits.cold_slack};
        }
    }
    return options;
}

router_settings make_router_settings(const daemon_settings& settings, bool requires_orders) {
    router_settings result;
    result.holds_back_new_versions = requires_orders;
    result.data_center = settings.daemon.data_center;
    result.policy.warm_up.period = settings.requests.warm_up;
    result.policy.data_centers.wait_per_megabyte = absl::Milliseconds(settings.routing.cross_data_center_ms_per_mb);
    return result;
}

retry_budget_policy make_retry_budget(const daemon_settings& settings) {
    retry_budget_policy policy;
    policy.retries_per_request = settings.requests.retry_budget_percent / 100.0;
    return policy;
}

peer_settings make_peer_settings(const daemon_settings& settings, const endpoint& http_address) {
    peer_settings result;
    result.mesh = settings.daemon.mesh;
    result.address = settings.listen.peers;
    result.http_address = http_address;
    result.data_center = settings.daemon.data_center;
    result.seeds = settings.peers.seeds;
    result.probe_interval = settings.peers.probe_interval;
    result.probe_timeout = settings.peers.probe_timeout;
    // A short probe interval means a small mesh, in which a joining daemon can repair more often.
    result.join_repair_interval = std::min(result.join_repair_interval, settings.peers.probe_interval);
    return result;
}

} // namespace amaranthladder
