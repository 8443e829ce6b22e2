#pragma once

#include "common/asio_types.h"
#include "common/event_log.h"
#include "common/steady_clock.h"
#include "http/private/body_gate.h"
#include "http/private/connection_pool.h"
#include "http/private/drain_schedule.h"
#include "http/private/local_upstream.h"
#include "http/private/quota_gate.h"
#include "http/private/response_relay.h"
#include "http/proxy_options.h"
#include "http/proxy_statistics.h"
#include "routing/caller_timeout_estimator.h"
#include "routing/link_meter.h"
#include "routing/link_units.h"
#include "routing/nested_route_detector.h"
#include "routing/retry_budget.h"
#include "routing/retry_policy.h"
#include "routing/router.h"
#include "routing/service_shortage.h"
#include "routing/tenant_directory.h"
#include "routing/transit_delay.h"
#include "routing/weighted_round_robin.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace amaranthladder {

class entry_call;

/// State shared by all requests of a daemon. Used on the event loop's thread only.
struct proxy_state {
    proxy_state(const proxy_options& proxy_settings, router_settings routing, retry_budget_policy budget_policy,
                const steady_clock& time_source, event_log& logger, upstream_observer observer)
        : options(proxy_settings), clock(time_source), log(logger), upstreams(std::move(observer)),
          request_router(std::move(routing)), budget(budget_policy), link(proxy_settings.link_mbps), relay(options),
          pool(context, max_idle_connections_per_target, proxy_settings.max_header_bytes + stream_chunk_bytes,
               pool_limits(proxy_settings), link_bytes) {}

    /// Covers the number of requests that a daemon commonly has in flight to one target.
    static constexpr std::size_t max_idle_connections_per_target = 128;

    static connection_limits pool_limits(const proxy_options& settings) {
        connection_limits limits;
        limits.max_idle_non_idempotent = settings.max_idle_non_idempotent;
        return limits;
    }

    /// @return the local upstream with that id, or null.
    local_upstream* find_local_upstream(const std::string& id) {
        const auto found = local_upstreams.find(id);
        return found == local_upstreams.end() ? nullptr : &found->second;
    }

    /// @return the limits for callers in the configuration, or null.
    const caller_limits* find_caller_limits() const {
        const auto found = configuration->limits.find(std::string(caller_limits_name));
        return found == configuration->limits.end() ? nullptr : &found->second;
    }

    /// @return requests per second that a cold upstream of the service tolerates; 0: all.
    double cold_rate_of(const std::string& service) const {
        const auto found = configuration->services.find(service);
        return found == configuration->services.end() ? 0 : found->second.cold_rate;
    }

    /// Logs and counts whether a local upstream is cold, if that has changed.
    /// @param reason what has changed it, for the log.
    void observe_cold(local_upstream& observed, std::string_view reason) {
        const cold_start_limit& cold = observed.semaphore->limiter().cold_starts();
        const bool is_cold = cold.is_limiting(clock.now());
        if (std::exchange(observed.is_cold, is_cold) == is_cold) {
            return;
        }
        counters.cold_periods += is_cold ? 1 : 0;
        log.info(fmt::format("cold-upstream upstream={} service={} cold={} unknown={} reason={} limit_per_s={:.1f} "
                             "recent_starts={}",
                             observed.record.id, observed.record.service, is_cold, cold.is_unknown(), reason,
                             cold.limit(clock.now()).value_or(0), cold.recent_starts()));
    }

    static std::string rate_limit_text(std::optional<double> limit) {
        return limit ? fmt::format("{:g}", *limit) : "none";
    }

    /// @return true if an upstream that is new to this daemon may have named a rate limit before: to a previous run of
    ///         this daemon, or before it was removed for its silence. Upstreams that do not state their start count as
    ///         new.
    bool may_have_named_rate_limit(const upstream_record& record) const {
        return record.started_at != absl::UnixEpoch() &&
               (record.started_at < started_at ||
                (last_removed && last_removed->id == record.id && is_same_start(*last_removed, record)));
    }

    /// Records which rate limit a local upstream has named, and applies it.
    /// @param named requests per second; nothing if the response names none.
    /// @param sent_at when the request was sent.
    /// @param request its id, for the log.
    void observe_rate_limit(local_upstream& observed, std::optional<double> named, absl::Time sent_at,
                            std::string_view request) {
        const std::optional<double> previous = observed.rate_limit.value();
        const bool was_unknown = observed.semaphore->limiter().rate_limit_knowledge().is_unknown();
        if (observed.rate_limit.observe(named, sent_at, clock.now())) {
            observed.semaphore->set_rate_limit(named);
            ++counters.rate_limit_changes;
            log.info(fmt::format("upstream-limit upstream={} request={} limit_per_s={} previous={}", observed.record.id,
                                 request, rate_limit_text(named), was_unknown ? "unknown" : rate_limit_text(previous)));
        } else {
            end_unknown_rate_limit(observed, request);
        }
    }

    /// Starts the requests that wait for a local upstream whose rate limit was unknown, and has none.
    /// @param request id of the request that showed it, for the log.
    void end_unknown_rate_limit(local_upstream& observed, std::string_view request) {
        if (observed.semaphore->limiter().rate_limit_knowledge().is_unknown()) {
            const int queued = observed.semaphore->limiter().queued();
            observed.semaphore->set_rate_limit(observed.rate_limit.value());
            log.info(fmt::format("upstream-limit upstream={} request={} limit_per_s={} previous=unknown queued={}",
                                 observed.record.id, request, rate_limit_text(observed.rate_limit.value()), queued));
        }
    }

    /// Refuses the requests of a local upstream if its data centre is evacuated.
    void apply_evacuation(local_upstream& affected) {
        const bool is_evacuated = evacuated.contains(affected.record.data_center);
        affected.semaphore->set_refusal(is_evacuated ? result_code::data_center_evacuated : result_code::ok);
    }

    /// Refuses further requests for a local upstream, and waiting ones that it cannot serve in the time it has left.
    /// @param reason what showed that it leaves, for the log.
    /// @param serves_for time for which it still serves.
    void set_leaving(local_upstream& leaving, std::string_view reason, absl::Duration serves_for) {
        const slot_limiter& limiter = leaving.semaphore->limiter();
        const int queued = limiter.queued();
        leaving.semaphore->set_leaving(clock.now() + serves_for);
        log.info(fmt::format("queue-leaving upstream={} reason={} serves_ms={} running={} queued={} refused={}",
                             leaving.record.id, reason,
                             serves_for == absl::InfiniteDuration() ? -1 : absl::ToInt64Milliseconds(serves_for),
                             limiter.running(), limiter.queued(), queued - limiter.queued()));
    }

    /// @overload that applies to an upstream that has just said that it leaves.
    void set_leaving(local_upstream& leaving, std::string_view reason) {
        set_leaving(leaving, reason, options.upstream_drain_time);
    }

    /// Brings the link's utilisation up to date.
    void measure_link() {
        link.observe(link_bytes, clock.now());
    }

    const proxy_options& options;
    const steady_clock& clock;
    event_log& log;
    upstream_observer upstreams;

    router request_router;
    retry_policy retries;
    retry_budget budget;
    std::uint64_t link_bytes = 0; ///< Moved over the host's link; counted by the streams.
    link_meter link;
    response_relay relay;
    std::map<std::string, local_upstream> local_upstreams;
    const absl::Time started_at = clock.now();                  ///< Start of the daemon.
    std::optional<upstream_record> last_removed;                ///< Record of the local upstream that was removed last.
    std::map<std::string, first_byte_latency> latency_by_route; ///< Of calls to local upstreams.
    std::shared_ptr<const intended_state> configuration = std::make_shared<intended_state>();
    tenant_directory tenants;           ///< Of the configuration.
    std::set<std::string> evacuated;    ///< Evacuated data centres.
    bool has_configuration = false;     ///< A configuration has been applied since the start.
    std::set<entry_call*> remote_calls; ///< Idempotent requests that wait for another owner.
    caller_timeout_estimator caller_timeouts;
    service_shortage shortage;
    nested_route_detector nested_routes; ///< Of requests to local upstreams.
    absl::flat_hash_map<std::string, weighted_round_robin>
        service_rotations;                  ///< By route name; only for routes with several services.
    transit_delay_estimator transit_delays; ///< Of requests from other daemons.
    absl::BitGen random;
    const std::uint64_t process_number = absl::Uniform<std::uint32_t>(random); ///< Of this run of the daemon.
    proxy_counters counters;
    request_id next_request_id = 1;
    body_gate bodies{context,
                     clock,
                     {.link_bytes_per_second = options.link_mbps * bytes_per_megabit,
                      .max_held_bytes_per_body = options.requested_body_buffer_bytes}};
    std::size_t requests_ahead = 0; ///< Requests on all connections that were read behind others.
    drain_schedule drain;           ///< Of this daemon; not started unless it has been asked to stop.
    quota_gate quotas{context, clock, log, random};

    // The destructor of the event loop destroys suspended requests, which use the members above. The sockets of the
    // pool must be destroyed before the event loop.
    asio::io_context context{1};
    connection_pool pool;
};

} // namespace amaranthladder
