#include "http/request_proxy.h"

#include "common/error.h"
#include "http/private/control_session.h"
#include "http/private/entry_call.h"
#include "http/private/inbound_session.h"
#include "http/private/open_acceptor.h"
#include "http/private/proxy_state.h"

#include <absl/cleanup/cleanup.h>
#include <absl/synchronization/mutex.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <future>
#include <list>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace amaranthladder {

namespace {

constexpr auto owner_check_interval = std::chrono::milliseconds(100);
constexpr auto maintenance_interval = std::chrono::seconds(1);
/// During a drain without a notice period, idle connections stay open for this time, so that requests that callers have
/// already sent are served.
constexpr auto drain_grace = std::chrono::milliseconds(500);
/// Time after the notice period during which a draining daemon accepts connections while requests are in flight.
constexpr absl::Duration drain_extension = absl::Milliseconds(700);
constexpr auto poll_interval = std::chrono::milliseconds(20);
constexpr auto explain_timeout = std::chrono::seconds(2);

} // namespace

class request_proxy::implementation {
public:
    implementation(proxy_options options, router_settings routing, retry_budget_policy budget,
                   const steady_clock& clock, event_log& log, upstream_observer observer)
        : m_options(std::move(options)),
          m_state(m_options, std::move(routing), budget, clock, log, std::move(observer)), m_acceptor(m_state.context),
          m_owner_acceptor(m_state.context) {
        const bool has_owner_address = !m_options.owner_address.address.empty();
        m_address = open_acceptor(m_acceptor, m_options.listen_address);
        asio::co_spawn(m_state.context, accept(m_acceptor, has_owner_address ? peer_type::caller : peer_type::any),
                       asio::detached);
        if (has_owner_address) {
            m_owner_address = open_acceptor(m_owner_acceptor, m_options.owner_address);
            asio::co_spawn(m_state.context, accept(m_owner_acceptor, peer_type::daemon), asio::detached);
        }
        asio::co_spawn(m_state.context, run_maintenance(), asio::detached);
        asio::co_spawn(m_state.context, check_remote_calls(), asio::detached);
    }

    void run() {
        bool has_ended = false;
        while (!has_ended) {
            try {
                m_state.context.run();
                has_ended = true;
            } catch (const std::exception& problem) {
                // The other tasks are unaffected, and the event loop may be run again.
                m_state.log.error(fmt::format("task-failed part=data-path reason=\"{}\"", problem.what()));
            }
        }
    }

    void stop() {
        m_state.context.stop();
    }

    void drain(absl::Duration notice) {
        asio::post(m_state.context, [this, notice] {
            const absl::Time now = m_state.clock.now();
            if (m_state.drain.start(now + notice, now + m_options.drain_timeout)) {
                m_state.log.info(fmt::format("drain notice_ms={} limit_ms={} connections={} requests={}",
                                             absl::ToInt64Milliseconds(notice),
                                             absl::ToInt64Milliseconds(m_options.drain_timeout), m_sessions.size(),
                                             std::ranges::count_if(m_sessions, &inbound_session::is_serving)));
                m_state.quotas.leave();
                asio::co_spawn(m_state.context, drain_connections(notice), asio::detached);
            }
        });
    }

    template <typename Function> void post(Function function) {
        asio::post(m_state.context, std::move(function));
    }

    proxy_state& state() {
        return m_state;
    }

    endpoint address() const {
        return m_address;
    }

    endpoint owner_address() const {
        return m_owner_address.address.empty() ? m_address : m_owner_address;
    }

    void serve_control(const endpoint& address, std::function<control_reply(const control_request&)> handler) {
        m_control_acceptors.emplace_back(m_state.context);
        open_acceptor(m_control_acceptors.back(), address);
        asio::co_spawn(m_state.context, accept_control(m_control_acceptors.back(), std::move(handler)), asio::detached);
    }

    proxy_counters counters() const {
        const absl::MutexLock lock(&m_mutex);
        return m_published_counters;
    }

    quota_report quotas() const {
        const absl::MutexLock lock(&m_mutex);
        return m_published_quotas;
    }

    void set_local_upstream(upstream_record record, int queue_limit) {
        local_upstream* known = m_state.find_local_upstream(record.id);
        const bool is_new = known == nullptr;
        if (is_new) {
            known = &m_state.local_upstreams[record.id];
            slot_limiter_policy policy;
            policy.order = m_options.waiting_order;
            policy.max_nested_reserve = m_options.max_nested_reserve;
            policy.cold = m_options.cold;
            known->semaphore =
                std::make_shared<slot_semaphore>(m_state.context, m_state.clock, record.slots, queue_limit, policy);
        } else if (known->record.slots != record.slots) {
            known->semaphore->set_limits(record.slots, queue_limit);
        }
        if (!is_same_start(known->record, record)) {
            known->has_said_leaving = false;
            known->echoes_request_ids = false;
            known->rate_limit = {};
            known->load = server_load();
            known->semaphore->set_rate_limit(std::nullopt);
            if (is_new && m_state.may_have_named_rate_limit(record)) {
                known->semaphore->rate_limit_knowledge().begin();
                ++m_state.counters.unknown_rate_limits;
                m_state.log.info(fmt::format("upstream-limit-unknown upstream={} started_ms={}", record.id,
                                             absl::ToUnixMillis(record.started_at)));
            }
            known->semaphore->cold_starts().on_new_start(m_state.clock.now());
        }
        known->record = std::move(record);
        m_state.apply_evacuation(*known);
        known->semaphore->cold_starts().set_rate(m_state.cold_rate_of(known->record.service), m_state.clock.now());
        m_state.observe_cold(*known, "start");
        // Announcements may be older than the response that said leaving.
        const bool is_leaving = known->record.is_leaving || known->has_said_leaving;
        const bool was_leaving = known->semaphore->limiter().is_leaving();
        if (is_leaving && !was_leaving) {
            m_state.set_leaving(*known, "record");
        } else if (!is_leaving && was_leaving) {
            known->semaphore->clear_leaving();
        }
    }

    void remove_local_upstream(const std::string& id, upstream_removal reason) {
        if (local_upstream* const known = m_state.find_local_upstream(id)) {
            // The requests that hold or wait for a slot outlive the upstream's entry.
            const bool still_serves = reason == upstream_removal::withdrawn;
            m_state.set_leaving(*known, name(reason),
                                still_serves ? m_options.upstream_drain_time : absl::ZeroDuration());
            m_state.last_removed = std::move(known->record);
            m_state.local_upstreams.erase(id);
        }
    }

    void set_evacuated_data_centers(std::set<std::string> names) {
        m_state.request_router.set_evacuated_data_centers(names, m_state.clock.now());
        const std::set<std::string> previous = std::exchange(m_state.evacuated, std::move(names));
        for (auto& [id, known] : m_state.local_upstreams) {
            const int queued = known.semaphore->limiter().queued();
            m_state.apply_evacuation(known);
            const bool is_evacuated = m_state.evacuated.contains(known.record.data_center);
            if (is_evacuated == previous.contains(known.record.data_center)) {
                continue;
            }
            m_state.log.info(fmt::format("upstream-evacuation upstream={} data_center={} evacuated={} running={} "
                                         "refused={}",
                                         id, known.record.data_center, is_evacuated,
                                         known.semaphore->limiter().running(), is_evacuated ? queued : 0));
            if (!is_evacuated) {
                known.semaphore->cold_starts().on_event(m_state.clock.now());
                m_state.observe_cold(known, "evacuation-ended");
            }
        }
    }

    void report_heartbeat(const std::string& id, absl::Duration remaining_cold) {
        if (local_upstream* const known = m_state.find_local_upstream(id)) {
            known->semaphore->cold_starts().on_heartbeat(remaining_cold, m_state.clock.now());
            m_state.observe_cold(*known, "heartbeat");
        }
    }

    void report_health_check(const std::string& id, const health_signals& signals, absl::Time asked_at) {
        local_upstream* const known = m_state.find_local_upstream(id);
        if (known == nullptr) {
            return;
        }
        const absl::Time now = m_state.clock.now();
        if (signals.remaining_cold) {
            known->semaphore->cold_starts().on_health_check(*signals.remaining_cold, asked_at, now);
            m_state.observe_cold(*known, "health-check");
        }
        if (signals.rate_limit) {
            m_state.observe_rate_limit(*known, signals.rate_limit, asked_at, "health-check");
        } else if (known->semaphore->limiter().rate_limit_knowledge().ends_with_check(asked_at)) {
            m_state.end_unknown_rate_limit(*known, "health-check");
        }
        if (signals.server_load.empty()) {
            return;
        }
        if (const std::optional<server_load_report> report = parse_server_load(signals.server_load)) {
            known->load.observe_health_check(*report, known->semaphore->limiter().running(), now);
            m_state.log.info(fmt::format(
                "upstream-load upstream={} source=health-check running={} waiting={} slots={} speed={:.2f} is_used={}",
                id, report->running, report->waiting, report->slots, report->work_factor.value_or(1),
                known->load.uses_reported_speed(now)));
        } else {
            ++m_state.counters.malformed_server_loads;
        }
    }

private:
    /// Sends due health checks of local upstreams and notices those that are not cold any more.
    void check_local_upstreams() {
        for (auto& [id, known] : m_state.local_upstreams) {
            const bool is_cold_due = known.semaphore->cold_starts().take_due_check(m_state.clock.now());
            m_state.observe_cold(known, "event");
            const bool is_limit_due = known.semaphore->rate_limit_knowledge().take_due_check(m_state.clock.now());
            if ((is_cold_due || is_limit_due) && m_state.upstreams.on_check_due) {
                m_state.counters.cold_checks += is_cold_due ? 1 : 0;
                m_state.counters.rate_limit_checks += is_limit_due ? 1 : 0;
                m_state.upstreams.on_check_due(id, known.record.address);
            }
        }
    }

    /// Accepts a connection. After a failure, such as a lack of file descriptors, it waits so that the caller does not
    /// spin.
    asio::awaitable<std::optional<asio::ip::tcp::socket>> accept_connection(asio::ip::tcp::acceptor& acceptor) {
        auto [failure, socket] = co_await acceptor.async_accept(as_result);
        if (failure) {
            asio::steady_timer timer(m_state.context, poll_interval);
            co_await timer.async_wait(as_result);
            co_return std::nullopt;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), failure);
        co_return std::move(socket);
    }

    asio::awaitable<void> accept(asio::ip::tcp::acceptor& acceptor, peer_type peer) {
        while (acceptor.is_open()) {
            std::optional<asio::ip::tcp::socket> socket = co_await accept_connection(acceptor);
            if (!socket) {
                continue;
            }
            ++m_state.counters.connections_accepted;
            if (m_sessions.size() >= m_options.max_connections) {
                ++m_state.counters.connections_refused;
                continue;
            }
            asio::co_spawn(m_state.context, serve(std::move(*socket), peer), asio::detached);
        }
    }

    asio::awaitable<void> accept_control(asio::ip::tcp::acceptor& acceptor,
                                         std::function<control_reply(const control_request&)> handler) {
        while (acceptor.is_open()) {
            std::optional<asio::ip::tcp::socket> socket = co_await accept_connection(acceptor);
            if (socket) {
                asio::co_spawn(m_state.context, amaranthladder::serve_control(std::move(*socket), handler),
                               asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket, peer_type peer) {
        inbound_session session(m_state, std::move(socket), peer);
        m_sessions.insert(&session);
        const absl::Cleanup forget = [this, &session] { m_sessions.erase(&session); };
        try {
            co_await session.run();
        } catch (const std::exception& problem) {
            m_state.log.error(fmt::format("session-failed reason=\"{}\"", problem.what()));
        }
    }

    /// Cancels attempts of idempotent requests at unreachable owners, so that they can be retried.
    asio::awaitable<void> check_remote_calls() {
        asio::steady_timer timer(m_state.context);
        while (true) {
            timer.expires_after(owner_check_interval);
            co_await timer.async_wait(as_result);
            m_state.measure_link();
            const absl::Time now = m_state.clock.now();
            check_local_upstreams();
            const std::vector<entry_call*> waiting(m_state.remote_calls.begin(), m_state.remote_calls.end());
            for (entry_call* call : waiting) {
                call->cancel_attempt_if_unreachable(now);
            }
        }
    }

    /// Closes expired pooled connections and publishes the counters.
    asio::awaitable<void> run_maintenance() {
        asio::steady_timer timer(m_state.context);
        while (true) {
            timer.expires_after(maintenance_interval);
            co_await timer.async_wait(as_result);
            m_state.pool.close_expired(m_state.clock.now());
            m_state.counters.connections_open = m_sessions.size();
            m_state.counters.upstreams_cold = static_cast<std::uint64_t>(
                std::ranges::count_if(m_state.local_upstreams, [](const auto& entry) { return entry.second.is_cold; }));
            m_state.counters.idle_upstream_connections = m_state.pool.idle_count();
            update_load_gauges();
            const absl::MutexLock lock(&m_mutex);
            m_published_counters = m_state.counters;
            m_published_quotas = m_state.quotas.report();
        }
    }

    void update_load_gauges() {
        m_state.counters.link_bytes = m_state.link_bytes;
        m_state.counters.link_utilisation = m_state.link.utilisation().value_or(0);
        m_state.counters.work_factor = m_state.local_upstreams.empty() ? 1 : 0;
        for (const auto& [id, upstream] : m_state.local_upstreams) {
            m_state.counters.work_factor =
                std::max(m_state.counters.work_factor, upstream.load.work_factor(m_state.clock.now()));
        }
    }

    /// Waits for the requests in flight and stops the event loop.
    /// @param notice time during which connections are still accepted.
    asio::awaitable<void> drain_connections(absl::Duration notice) {
        const absl::Time started_at = m_state.clock.now();
        asio::steady_timer timer(m_state.context);
        if (notice > absl::ZeroDuration()) {
            timer.expires_after(absl::ToChronoNanoseconds(notice));
            co_await timer.async_wait(as_result);
            // Connections are accepted while requests are in flight, since a refused connection costs its caller an
            // attempt. The time is limited so that the requests can end before the drain timeout.
            while (are_requests_open() && m_state.clock.now() - started_at < notice + drain_extension) {
                timer.expires_after(poll_interval);
                co_await timer.async_wait(as_result);
            }
        }
        error_code ignored;
        m_acceptor.close(ignored);
        m_owner_acceptor.close(ignored);
        if (notice == absl::ZeroDuration()) {
            timer.expires_after(drain_grace);
            co_await timer.async_wait(as_result);
        }
        while (!m_sessions.empty() && m_state.clock.now() - started_at < m_options.drain_timeout) {
            for (inbound_session* session : m_sessions) {
                session->close_if_idle();
            }
            timer.expires_after(poll_interval);
            co_await timer.async_wait(as_result);
        }
        const auto requests_cut = std::ranges::count_if(m_sessions, &inbound_session::is_serving);
        m_state.log.info(fmt::format("drained connections_cut={} requests_cut={} after_ms={} limit_ms={}",
                                     m_sessions.size(), requests_cut,
                                     absl::ToInt64Milliseconds(m_state.clock.now() - started_at),
                                     absl::ToInt64Milliseconds(m_options.drain_timeout)));
        m_state.context.stop();
    }

    bool are_requests_open() const {
        return std::ranges::any_of(m_sessions, [](const inbound_session* session) { return !session->is_idle(); });
    }

    proxy_options m_options;
    endpoint m_address;
    endpoint m_owner_address;
    std::set<inbound_session*> m_sessions;
    mutable absl::Mutex m_mutex;
    proxy_counters m_published_counters ABSL_GUARDED_BY(m_mutex);
    quota_report m_published_quotas ABSL_GUARDED_BY(m_mutex);
    proxy_state m_state; // Its destructor destroys suspended sessions, which use the members above.
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::acceptor m_owner_acceptor;
    std::list<asio::ip::tcp::acceptor> m_control_acceptors; // A list, since coroutines hold references to its elements.
};

request_proxy::request_proxy(proxy_options options, router_settings routing, retry_budget_policy budget,
                             const steady_clock& clock, event_log& log, upstream_observer observer)
    : m_implementation(std::make_unique<implementation>(std::move(options), std::move(routing), budget, clock, log,
                                                        std::move(observer))) {}

request_proxy::~request_proxy() = default;

void request_proxy::run() {
    m_implementation->run();
}

void request_proxy::stop() {
    m_implementation->stop();
}

void request_proxy::drain(absl::Duration notice) {
    m_implementation->drain(notice);
}

void request_proxy::set_configuration(std::shared_ptr<const intended_state> state) {
    // Built here, since 10,000 keys would delay the event loop.
    m_implementation->post([this, state, directory = tenant_directory(state)]() mutable {
        m_implementation->state().configuration = state;
        m_implementation->state().tenants = std::move(directory);
        m_implementation->state().has_configuration = true;
        std::erase_if(m_implementation->state().latency_by_route,
                      [&](const auto& entry) { return !state->routes.contains(entry.first); });
        proxy_state& proxy = m_implementation->state();
        proxy.request_router.set_configuration(state);
        for (auto& [id, known] : proxy.local_upstreams) {
            known.semaphore->cold_starts().set_rate(proxy.cold_rate_of(known.record.service), proxy.clock.now());
            proxy.observe_cold(known, "configuration");
        }
        proxy.quotas.set_configuration(state);
        proxy.nested_routes.reset();
    });
}

void request_proxy::set_upstreams(std::vector<upstream_record> records) {
    m_implementation->post([this, records = std::move(records)] {
        proxy_state& proxy = m_implementation->state();
        proxy.request_router.set_upstreams(records, proxy.clock.now());
    });
}

void request_proxy::set_suspected_owners(std::vector<endpoint> owners) {
    m_implementation->post([this, owners = std::move(owners)]() mutable {
        m_implementation->state().request_router.set_suspected_owners(std::move(owners));
    });
}

void request_proxy::set_share_overrides(share_overrides overrides) {
    m_implementation->post([this, overrides = std::move(overrides)]() mutable {
        m_implementation->state().request_router.set_share_overrides(std::move(overrides));
    });
}

void request_proxy::set_evacuated_data_centers(std::set<std::string> names) {
    m_implementation->post(
        [this, names = std::move(names)]() mutable { m_implementation->set_evacuated_data_centers(std::move(names)); });
}

void request_proxy::report_heartbeat(const std::string& id, absl::Duration remaining_cold) {
    m_implementation->post([this, id, remaining_cold] { m_implementation->report_heartbeat(id, remaining_cold); });
}

void request_proxy::report_health_check(const std::string& id, const health_signals& signals, absl::Time asked_at) {
    m_implementation->post(
        [this, id, signals, asked_at] { m_implementation->report_health_check(id, signals, asked_at); });
}

void request_proxy::start_quota(quota_transport transport) {
    m_implementation->post([this, transport = std::move(transport)]() mutable {
        m_implementation->state().quotas.start(std::move(transport));
    });
}

void request_proxy::set_quota_members(std::vector<member> members, bool is_joined) {
    m_implementation->post([this, members = std::move(members), is_joined] {
        m_implementation->state().quotas.set_members(members, is_joined);
    });
}

void request_proxy::receive_quota(quota_message message) {
    m_implementation->post([this, message = std::move(message)] { m_implementation->state().quotas.receive(message); });
}

quota_report request_proxy::quotas() const {
    return m_implementation->quotas();
}

void request_proxy::set_local_upstream(upstream_record record, int queue_limit) {
    m_implementation->post([this, record = std::move(record), queue_limit]() mutable {
        m_implementation->set_local_upstream(std::move(record), queue_limit);
    });
}

void request_proxy::set_version_refused(const std::string& id, bool is_refused) {
    m_implementation->post([this, id, is_refused] {
        if (local_upstream* const known = m_implementation->state().find_local_upstream(id)) {
            known->is_version_refused = is_refused;
        }
    });
}

void request_proxy::query_load(const std::string& id, std::function<void(int)> answer) {
    m_implementation->post([this, id, answer = std::move(answer)] {
        local_upstream* const known = m_implementation->state().find_local_upstream(id);
        answer(known == nullptr ? 0 : known->semaphore->limiter().running() + known->semaphore->limiter().queued());
    });
}

void request_proxy::remove_local_upstream(const std::string& id, upstream_removal reason) {
    m_implementation->post([this, id, reason] { m_implementation->remove_local_upstream(id, reason); });
}

endpoint request_proxy::address() const {
    return m_implementation->address();
}

endpoint request_proxy::owner_address() const {
    return m_implementation->owner_address();
}

void request_proxy::serve_control(const endpoint& address,
                                  std::function<control_reply(const control_request&)> handler) {
    m_implementation->serve_control(address, std::move(handler));
}

proxy_counters request_proxy::counters() const {
    return m_implementation->counters();
}

std::string request_proxy::explain(const std::string& method, const std::string& path) {
    const auto answer = std::make_shared<std::promise<std::string>>();
    std::future<std::string> result = answer->get_future();
    m_implementation->post([this, answer, method, path] {
        proxy_state& proxy = m_implementation->state();
        const route_match found = proxy.request_router.match("", method, path);
        if (found.refusal != result_code::ok) {
            answer->set_value(fmt::format("refusal={}", name(found.refusal)));
            return;
        }
        const route& target = *found.matched;
        const routing_decision decision = proxy.request_router.choose(target, {}, proxy.clock.now(), proxy.random);
        answer->set_value(
            fmt::format("{} file={} line={}", to_log_line(decision), target.origin.file, target.origin.line));
    });
    if (result.wait_for(explain_timeout) != std::future_status::ready) {
        throw error(result_code::daemon_draining, "the event loop did not respond in time");
    }
    return result.get();
}

} // namespace amaranthladder
