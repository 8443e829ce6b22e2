#pragma once

#include "common/event_log.h"
#include "common/steady_clock.h"
#include "http/control_request.h"
#include "http/proxy_options.h"
#include "http/proxy_statistics.h"
#include "peers/upstream_record.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthladder {

/// The daemon's data path: receives requests of callers and of other daemons and passes them on to upstreams.
///
/// One thread runs the event loop (run()). All other public functions may be called from any thread.
class request_proxy {
public:
    /// @param options limits and timeouts.
    /// @param routing settings of the router.
    /// @param budget constants of the retry budget.
    /// @param clock outlives the proxy.
    /// @param log outlives the proxy.
    /// @param report_call called on the event loop's thread for each call of an upstream beside this daemon.
    /// @throws error with result_code::listen_failed.
    request_proxy(proxy_options options, router_settings routing, retry_budget_policy budget, const steady_clock& clock,
                  event_log& log, std::function<void(const upstream_call_result&)> report_call);
    ~request_proxy();
    request_proxy(const request_proxy&) = delete;
    request_proxy& operator=(const request_proxy&) = delete;

    /// Answers small requests on a further address from the event loop's thread. To be called before run().
    /// @param address where to listen.
    /// @param handler answers each request; must return quickly.
    /// @throws error with result_code::listen_failed.
    void serve_control(const endpoint& address, std::function<control_reply(const control_request&)> handler);

    /// Runs the event loop until stop() is called or a drain has ended.
    void run();

    /// Stops the event loop at once.
    void stop();

    /// Asks callers to close their connections, serves requests for the time of the notice, lets every request in
    /// flight end, then ends run(). Connections without a request are closed after a short time, in which a request
    /// that is on its way still arrives.
    /// @param notice how long callers may take to go elsewhere; zero: no more connections are accepted from now on.
    void drain(absl::Duration notice = absl::ZeroDuration());

    void set_configuration(std::shared_ptr<const intended_state> state);
    void set_upstreams(std::vector<upstream_record> records);
    void set_suspected_owners(std::vector<endpoint> owners);
    void set_share_overrides(share_overrides overrides);

    /// Takes requests for an upstream beside this daemon, or changes its limits.
    /// @param queue_limit requests that may wait for a slot.
    void set_local_upstream(upstream_record record, int queue_limit);

    /// Refuses requests of other daemons for an upstream beside this one, because its version was taken back, or takes
    /// them again. The refusal is "not run", so they go to another upstream.
    void set_version_refused(const std::string& id, bool is_refused);

    /// Asks how many requests an upstream beside this daemon runs or queues.
    /// @param answer called on the event loop's thread; 0 for an unknown upstream.
    void query_load(const std::string& id, std::function<void(int)> answer);

    /// Takes no more requests for an upstream that is gone.
    void remove_local_upstream(const std::string& id);

    /// @return the address in use for callers.
    endpoint address() const;

    /// @return the address in use for other daemons' requests.
    endpoint owner_address() const;

    /// @return the counters, copied by the event loop's thread once a second.
    proxy_counters counters() const;

    /// Runs the choice of an upstream without sending anything, for `explain`. Waits for the event loop's thread.
    /// @param method HTTP method.
    /// @param path request target.
    /// @return the route's name and the decision's log line, or the refusal.
    /// @throws error with result_code::daemon_draining if the event loop does not answer within two seconds.
    std::string explain(const std::string& method, const std::string& path);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
