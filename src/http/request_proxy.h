#pragma once

#include "common/event_log.h"
#include "common/steady_clock.h"
#include "http/control_request.h"
#include "http/proxy_options.h"
#include "http/proxy_statistics.h"
#include "http/quota_transport.h"
#include "http/upstream_removal.h"
#include "peers/member.h"
#include "peers/upstream_record.h"
#include "quota/quota_message.h"
#include "quota/quota_node.h"
#include "routing/retry_budget.h"
#include "routing/router.h"
#include "routing/upstream_signals.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// The daemon's data path: receives requests from callers and from other daemons and forwards them to upstreams.
///
/// One thread runs the event loop in run(). All other public functions may be called from any thread, except where
/// stated otherwise.
class request_proxy {
public:
    /// @param options addresses, limits and timeouts.
    /// @param routing settings of the router.
    /// @param budget settings of the retry budget.
    /// @param clock outlives the proxy.
    /// @param log outlives the proxy.
    /// @param observer receives what the proxy learns about local upstreams.
    /// @throws error with result_code::listen_failed.
    request_proxy(proxy_options options, router_settings routing, retry_budget_policy budget, const steady_clock& clock,
                  event_log& log, upstream_observer observer);
    ~request_proxy();
    request_proxy(const request_proxy&) = delete;
    request_proxy& operator=(const request_proxy&) = delete;

    /// Serves control requests at a separate address. Must be called before run().
    /// @param address where to listen.
    /// @param handler answers a request; runs on the event loop's thread and must not block.
    /// @throws error with result_code::listen_failed.
    void serve_control(const endpoint& address, std::function<control_reply(const control_request&)> handler);

    /// Runs the event loop until stop() is called or a drain has finished.
    void run();

    /// Stops the event loop immediately; requests in flight are dropped.
    void stop();

    /// Drains the proxy: answers callers with "Connection: close", accepts connections until the notice period ends,
    /// waits for the requests in flight, then ends run(). Idle connections are closed after the notice period; without
    /// one they stay open briefly, so that a request already sent by a caller is still served.
    /// @param notice time for callers to move to other daemons; with zero no further connections are accepted.
    void drain(absl::Duration notice = absl::ZeroDuration());

    void set_configuration(std::shared_ptr<const intended_state> state);
    void set_upstreams(std::vector<upstream_record> records);
    void set_suspected_owners(std::vector<endpoint> owners);
    void set_share_overrides(share_overrides overrides);

    /// Replaces the set of evacuated data centres. Their upstreams get no request, whoever sends it.
    void set_evacuated_data_centers(std::set<std::string> names);

    /// Starts to limit the requests of tenants with a quota.
    void start_quota(quota_transport transport);
    /// @param is_joined this daemon knows the fleet, see quota_node::set_members().
    void set_quota_members(std::vector<member> members, bool is_joined);
    void receive_quota(quota_message message);
    /// @return the state of the quotas; updated once a second.
    quota_report quotas() const;

    /// Starts serving requests for a local upstream, or updates its record.
    /// @param queue_limit number of requests that may wait for a slot.
    void set_local_upstream(upstream_record record, int queue_limit);

    /// Records a heartbeat of a local upstream.
    /// @param remaining_cold time for which it is still cold; zero: it is warm.
    void report_heartbeat(const std::string& id, absl::Duration remaining_cold);

    /// Records the response of a local upstream to a health check.
    /// @param asked_at when the health check was sent.
    void report_health_check(const std::string& id, const health_signals& signals, absl::Time asked_at);

    /// Sets whether requests of other daemons for a local upstream are refused because its version was rolled back. The
    /// refusals say that the request was not executed, so the entries retry at another upstream.
    void set_version_refused(const std::string& id, bool is_refused);

    /// Reads the number of requests that a local upstream runs or queues.
    /// @param answer receives the number, 0 for an unknown upstream; called on the event loop's thread.
    void query_load(const std::string& id, std::function<void(int)> answer);

    /// Stops serving requests for a local upstream. Those in its queue are served only if it still serves, see
    /// proxy_options::upstream_drain_time.
    void remove_local_upstream(const std::string& id, upstream_removal reason);

    /// @return the address where the proxy listens for callers.
    endpoint address() const;

    /// @return the address where the proxy listens for other daemons; the callers' address if there is no separate one.
    endpoint owner_address() const;

    /// @return the counters; updated once a second.
    proxy_counters counters() const;

    /// Chooses an upstream without sending a request, for the `explain` command. Blocks until the event loop has run
    /// it.
    /// @param method HTTP method.
    /// @param path request target.
    /// @return the log line of the decision with the file and line of the route, or the refusal.
    /// @throws error with result_code::daemon_draining if the event loop does not respond within two seconds.
    std::string explain(const std::string& method, const std::string& path);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
