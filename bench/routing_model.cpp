#include "routing_model.h"

#include "event_queue.h"
#include "routing/connection_health.h"
#include "routing/retry_budget.h"
#include "routing/retry_policy.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace amaranthladder {

service_profile werkbank_profile() {
    service_profile profile;
    profile.name = "werkbank";
    profile.caller_delay = absl::Milliseconds(3);
    profile.data_center_delay = absl::Milliseconds(1.5);
    return profile;
}

service_profile tienda_profile() {
    service_profile profile;
    profile.name = "tienda";
    profile.slots = 12;
    profile.caller_delay = absl::Milliseconds(1);
    profile.data_center_delay = absl::Milliseconds(1);
    return profile;
}

std::string_view name(worker_fault value) {
    switch (value) {
    case worker_fault::none:
        return "none";
    case worker_fault::slow:
        return "slow";
    case worker_fault::failing:
        return "failing";
    case worker_fault::refusing:
        return "refusing";
    case worker_fault::lying:
        return "lying";
    case worker_fault::shedding:
        return "shedding";
    case worker_fault::leaving:
        return "leaving";
    }
    return "unknown";
}

double routing_outcome::good_share() const {
    return calls == 0 ? 0 : static_cast<double>(good_calls) / static_cast<double>(calls);
}

double routing_outcome::good_price_share() const {
    return price_calls == 0 ? 0 : static_cast<double>(good_price_calls) / static_cast<double>(price_calls);
}

double routing_outcome::attempts_per_call() const {
    return calls == 0 ? 0 : static_cast<double>(attempts) / static_cast<double>(calls);
}

double routing_outcome::good_rate(int from_second, int to_second) const {
    std::int64_t sum = 0;
    for (int second = from_second; second < to_second; ++second) {
        sum += static_cast<std::size_t>(second) < good_by_second.size()
                   ? good_by_second[static_cast<std::size_t>(second)]
                   : 0;
    }
    return static_cast<double>(sum) / (to_second - from_second);
}

namespace {

constexpr int data_center_count = 4;
constexpr int entry_count = 10; // The daemons of all upstreams of both services in a mesh.
constexpr absl::Duration price_timeout = absl::Milliseconds(40);
constexpr absl::Duration local_delay = absl::Microseconds(50); // One-way delay inside a data centre.
constexpr absl::Duration report_lag = absl::Seconds(2);
constexpr absl::Duration gossip_delay = absl::Seconds(1); // Until entries receive a change of the upstream list.
constexpr absl::Duration cold_period = absl::Seconds(4);
constexpr double cold_slowdown = 5;
constexpr int max_baseline_attempts = 3;

/// A call of a caller, with all its attempts.
struct client_call {
    absl::Time sent_at;
    absl::Time deadline; ///< Latest time of the response at the entry.
    int entry = 0;
    bool is_price = false;
    bool is_order = false;
    std::vector<std::string> tried_upstreams;
};

/// One attempt of a call at one worker.
struct call_attempt {
    std::shared_ptr<client_call> call;
    request_id id = 0;
    int worker = 0;
    absl::Time started_at;
    bool is_over = false;    ///< The entry no longer waits for the response.
    bool is_running = false; ///< The upstream is processing the request.
};

using attempt_pointer = std::shared_ptr<call_attempt>;

/// The routing state of one entry.
class entry_daemon {
public:
    entry_daemon(std::string data_center, const router_policy& policy)
        : upstream_router(router_settings{.data_center = std::move(data_center), .policy = policy}),
          first_byte_latencies(2) {}

    router upstream_router;
    retry_budget budget;
    std::vector<first_byte_latency> first_byte_latencies;       ///< Index 0: ordinary requests, index 1: price lookups.
    std::vector<std::vector<connection_info>> idle_connections; ///< By worker.
};

/// An upstream and the daemon beside it.
struct worker_host {
    worker_host(int slots, const slot_limiter_policy& policy) : limiter(slots, 2 * slots, policy) {}

    slot_limiter limiter;
    std::map<request_id, attempt_pointer> admitted_attempts; ///< Queued or running.
    std::deque<attempt_pointer> baseline_queue;              ///< Used by the baseline, which has no limiter.
    int running_attempts = 0;
    int open_connections = 0;
    double reported_load = 0;
    absl::Time reported_at = absl::InfinitePast();
    absl::Time cold_until = absl::InfinitePast();
    bool is_gone = false;
    std::uint64_t incarnation = 1;
};

/// Simulates one scenario as a sequence of timed events.
class routing_simulation {
public:
    explicit routing_simulation(const routing_scenario& scenario)
        : m_scenario(scenario), m_start(absl::FromUnixSeconds(1'700'000'000)), m_events(m_start), m_rng(scenario.seed) {
        m_route.name = "orders";
        m_route.service = scenario.profile.name;
        for (int index = 0; index < scenario.profile.workers; ++index) {
            m_workers.emplace_back(scenario.profile.slots, scenario.limiter_policy);
        }
        for (int index = 0; index < entry_count; ++index) {
            m_entries.emplace_back(data_center_name(index), scenario.routing_policy);
            m_entries.back().idle_connections.resize(m_workers.size());
        }
        update_upstream_list();
    }

    routing_outcome run() {
        absl::Time phase_start = m_start;
        for (const load_phase& phase : m_scenario.phases) {
            m_phase_ends.push_back(phase_start += phase.length);
        }
        if (m_scenario.fault == worker_fault::leaving) {
            schedule_replacement();
        }
        schedule_call();
        while (m_events.run_next()) {
        }
        compute_latency_quantiles();
        return m_outcome;
    }

private:
    static std::string data_center_name(int index) {
        return fmt::format("center-{}", index % data_center_count);
    }

    bool is_faulty(int worker, worker_fault fault) const {
        return worker == 0 && m_scenario.fault == fault;
    }

    double uniform() {
        return std::uniform_real_distribution<double>(0, 1)(m_rng);
    }

    absl::Duration network_delay(int entry, int worker) const {
        return entry % data_center_count == worker % data_center_count ? local_delay
                                                                       : m_scenario.profile.data_center_delay;
    }

    void schedule(absl::Duration delay, std::function<void()> action) {
        m_events.add(m_events.now() + delay, std::move(action));
    }

    // Upstream list

    void update_upstream_list() {
        std::vector<upstream_record> records;
        for (int index = 0; index < static_cast<int>(m_workers.size()); ++index) {
            upstream_record record;
            record.id = std::to_string(index);
            record.service = m_scenario.profile.name;
            record.version = "v1";
            record.data_center = data_center_name(index);
            record.slots = m_scenario.profile.slots;
            record.is_leaving = m_workers[static_cast<std::size_t>(index)].is_gone;
            record.incarnation = m_workers[static_cast<std::size_t>(index)].incarnation;
            records.push_back(record);
        }
        for (entry_daemon& entry : m_entries) {
            entry.upstream_router.set_upstreams(records, m_events.now());
        }
    }

    void schedule_replacement() {
        const absl::Duration length = m_phase_ends.back() - m_start;
        schedule(length * 0.2, [this] {
            m_workers[0].is_gone = true;
            m_workers[0].limiter.set_leaving();
            schedule(gossip_delay, [this] { update_upstream_list(); });
        });
        schedule(length * 0.4, [this] {
            worker_host& host = m_workers[0];
            host.is_gone = false;
            host.limiter.clear_leaving();
            ++host.incarnation;
            host.cold_until = m_events.now() + cold_period;
            update_upstream_list();
        });
    }

    // Callers

    void schedule_call() {
        const auto phase = std::ranges::upper_bound(m_phase_ends, m_events.now());
        if (phase == m_phase_ends.end()) {
            return;
        }
        const double load = m_scenario.phases[static_cast<std::size_t>(phase - m_phase_ends.begin())].load;
        const double rate = load * m_scenario.profile.capacity() / mean_call_cost();
        schedule(absl::Seconds(std::exponential_distribution<double>(rate)(m_rng)), [this] {
            send_call();
            schedule_call();
        });
    }

    /// @return the mean service time of a call, relative to an ordinary request.
    double mean_call_cost() const {
        return 1 - m_scenario.price_share * 0.75;
    }

    void send_call() {
        auto call = std::make_shared<client_call>();
        call->sent_at = m_events.now();
        call->entry = std::uniform_int_distribution<int>(0, entry_count - 1)(m_rng);
        call->is_price = uniform() < m_scenario.price_share;
        call->is_order = !call->is_price && uniform() < 0.3;
        call->deadline = call->sent_at + caller_timeout_of(*call) - m_scenario.profile.caller_delay;
        ++m_outcome.calls;
        m_outcome.price_calls += call->is_price ? 1 : 0;
        ++counter_of_second(m_outcome.calls_by_second, m_events.now());
        schedule(m_scenario.profile.caller_delay, [this, call] {
            entry_of(*call).budget.on_request(m_route.service, m_events.now());
            start_attempt(call);
        });
    }

    absl::Duration caller_timeout_of(const client_call& call) const {
        return call.is_price ? price_timeout : m_scenario.profile.caller_timeout;
    }

    std::int64_t& counter_of_second(std::vector<std::int64_t>& seconds, absl::Time when) const {
        const auto second = static_cast<std::size_t>(absl::ToInt64Seconds(when - m_start));
        if (seconds.size() <= second) {
            seconds.resize(second + 1);
        }
        return seconds[second];
    }

    void respond_to_caller(const std::shared_ptr<client_call>& call, bool is_good) {
        schedule(m_scenario.profile.caller_delay, [this, call, is_good] {
            if (!is_good || m_events.now() > call->sent_at + caller_timeout_of(*call)) {
                return;
            }
            ++m_outcome.good_calls;
            m_outcome.good_price_calls += call->is_price ? 1 : 0;
            ++counter_of_second(m_outcome.good_by_second, m_events.now());
            m_latencies.push_back(m_events.now() - call->sent_at);
        });
    }

    void compute_latency_quantiles() {
        if (m_latencies.empty()) {
            return;
        }
        std::ranges::sort(m_latencies);
        m_outcome.median_latency = m_latencies[m_latencies.size() / 2];
        m_outcome.p99_latency = m_latencies[m_latencies.size() * 99 / 100];
    }

    // Entries

    entry_daemon& entry_of(const client_call& call) {
        return m_entries[static_cast<std::size_t>(call.entry)];
    }

    void start_attempt(const std::shared_ptr<client_call>& call) {
        const absl::Time now = m_events.now();
        auto attempt = std::make_shared<call_attempt>();
        attempt->call = call;
        attempt->id = ++m_last_request_id;
        attempt->started_at = now;
        if (m_scenario.is_baseline) {
            attempt->worker = std::uniform_int_distribution<int>(0, m_scenario.profile.workers - 1)(m_rng);
        } else {
            const routing_request request{
                .is_idempotent = !call->is_order, .deadline = call->deadline, .tried_upstreams = call->tried_upstreams};
            const routing_decision decision = entry_of(*call).upstream_router.choose(m_route, request, now, m_rng);
            if (decision.is_refused()) {
                ++m_outcome.refused_calls;
                return respond_to_caller(call, false);
            }
            attempt->worker = std::stoi(decision.upstream_id);
            entry_of(*call).upstream_router.on_started(decision.upstream_id, now);
            const absl::Duration timeout = m_connection_health.first_byte_timeout(
                entry_of(*call).first_byte_latencies[call->is_price ? 1 : 0], !call->is_order, call->deadline - now);
            schedule(timeout, [this, attempt] { time_out(attempt); });
        }
        ++m_outcome.attempts;
        m_outcome.faulty_attempts += attempt->worker == 0 ? 1 : 0;
        schedule(take_connection(attempt) + network_delay(call->entry, attempt->worker),
                 [this, attempt] { handle_arrival(attempt); });
    }

    /// Takes an idle connection to the worker, or opens one.
    /// @return the time until the connection is usable.
    absl::Duration take_connection(const attempt_pointer& attempt) {
        auto& idle = entry_of(*attempt->call).idle_connections[static_cast<std::size_t>(attempt->worker)];
        while (!idle.empty()) {
            const connection_info newest = idle.back();
            if (m_connection_health.may_reuse(newest, !attempt->call->is_order, m_events.now())) {
                idle.pop_back();
                return absl::ZeroDuration();
            }
            if (!m_connection_health.is_expired(newest, m_events.now())) {
                break;
            }
            idle.pop_back();
        }
        return m_scenario.profile.connect_time;
    }

    void time_out(const attempt_pointer& attempt) {
        if (attempt->is_over) {
            return;
        }
        schedule(network_delay(attempt->call->entry, attempt->worker), [this, attempt] { cancel(attempt); });
        end_attempt(attempt, attempt_outcome::sent_no_answer, std::nullopt);
    }

    void end_attempt(const attempt_pointer& attempt, attempt_outcome outcome, std::optional<double> load) {
        if (attempt->is_over) {
            return;
        }
        attempt->is_over = true;
        const absl::Time now = m_events.now();
        entry_daemon& entry = entry_of(*attempt->call);
        const absl::Duration latency = now - attempt->started_at;
        if (!m_scenario.is_baseline) {
            entry.upstream_router.on_finished(std::to_string(attempt->worker), outcome, latency, load, now);
        }
        if (outcome == attempt_outcome::answered) {
            entry.first_byte_latencies[attempt->call->is_price ? 1 : 0].observe(latency);
        }
        if (outcome != attempt_outcome::sent_no_answer && outcome != attempt_outcome::connect_failed) {
            entry.idle_connections[static_cast<std::size_t>(attempt->worker)].push_back(
                {attempt->id, attempt->started_at, now});
        }
        if (outcome == attempt_outcome::answered || outcome == attempt_outcome::answered_error) {
            return respond_to_caller(attempt->call, outcome == attempt_outcome::answered);
        }
        retry(attempt, outcome);
    }

    void retry(const attempt_pointer& attempt, attempt_outcome outcome) {
        attempt->call->tried_upstreams.push_back(std::to_string(attempt->worker));
        const int attempts = static_cast<int>(attempt->call->tried_upstreams.size());
        const absl::Time now = m_events.now();
        const bool is_allowed = m_scenario.is_baseline
                                    ? attempts < max_baseline_attempts && now < attempt->call->deadline
                                    : m_retry_policy
                                          .decide({.service = m_route.service,
                                                   .method = attempt->call->is_order ? "POST" : "GET",
                                                   .outcome = outcome,
                                                   .deadline = attempt->call->deadline,
                                                   .attempts = attempts},
                                                  entry_of(*attempt->call).budget, now)
                                          .is_allowed;
        if (is_allowed) {
            return start_attempt(attempt->call);
        }
        m_outcome.refused_calls += is_not_run(outcome) ? 1 : 0;
        respond_to_caller(attempt->call, false);
    }

    // Owners and upstreams

    worker_host& host_of(const attempt_pointer& attempt) {
        return m_workers[static_cast<std::size_t>(attempt->worker)];
    }

    void handle_arrival(const attempt_pointer& attempt) {
        worker_host& host = host_of(attempt);
        if (m_scenario.is_baseline) {
            return handle_baseline_arrival(attempt);
        }
        const absl::Time deadline = m_events.now() + (attempt->call->deadline - attempt->started_at);
        const admission answer =
            host.limiter.offer(attempt->id, deadline, m_events.now(), attempt->call->is_price ? "price" : "orders");
        if (answer.result == admission::verdict::refused) {
            return respond_to_entry(attempt, answer.refusal == result_code::upstream_leaving
                                                 ? attempt_outcome::refused_leaving
                                                 : attempt_outcome::refused_load);
        }
        host.admitted_attempts[attempt->id] = attempt;
        if (answer.result == admission::verdict::run) {
            serve(attempt);
        } else if (const auto expiry = host.limiter.next_expiry()) {
            m_events.add(std::max(*expiry, m_events.now()),
                         [this, &host] { drop(host, host.limiter.expire(m_events.now())); });
        }
    }

    void handle_baseline_arrival(const attempt_pointer& attempt) {
        worker_host& host = host_of(attempt);
        if (host.is_gone || is_faulty(attempt->worker, worker_fault::refusing) ||
            host.open_connections >= m_scenario.profile.max_connections) {
            return respond_to_entry(attempt, attempt_outcome::connect_failed);
        }
        ++host.open_connections;
        if (host.running_attempts < m_scenario.profile.slots) {
            return serve(attempt);
        }
        host.baseline_queue.push_back(attempt);
    }

    void serve(const attempt_pointer& attempt) {
        worker_host& host = host_of(attempt);
        attempt->is_running = true;
        ++host.running_attempts;
        if (is_faulty(attempt->worker, worker_fault::refusing)) {
            return schedule(local_delay, [this, attempt] { finish_attempt(attempt, attempt_outcome::connect_failed); });
        }
        const bool sheds =
            is_faulty(attempt->worker, worker_fault::shedding) && host.running_attempts > m_scenario.profile.slots / 2;
        if (sheds || (is_faulty(attempt->worker, worker_fault::failing) && uniform() < 0.5)) {
            return schedule(absl::Milliseconds(1),
                            [this, attempt] { finish_attempt(attempt, attempt_outcome::answered_error); });
        }
        schedule(service_time(attempt), [this, attempt] { finish_attempt(attempt, attempt_outcome::answered); });
    }

    absl::Duration service_time(const attempt_pointer& attempt) {
        // A log-normal distribution whose standard deviation is about half of its mean.
        constexpr double sigma = 0.47;
        double factor = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_rng);
        factor *= attempt->call->is_price ? 0.25 : 1;
        factor *= is_faulty(attempt->worker, worker_fault::slow) ? 10 : 1;
        factor *= m_events.now() < host_of(attempt).cold_until ? cold_slowdown : 1;
        return m_scenario.profile.service_time * factor;
    }

    void finish_attempt(const attempt_pointer& attempt, attempt_outcome outcome) {
        if (!attempt->is_running) {
            return; // It was cancelled.
        }
        attempt->is_running = false;
        worker_host& host = host_of(attempt);
        --host.running_attempts;
        respond_to_entry(attempt, outcome);
        if (m_scenario.is_baseline) {
            --host.open_connections;
            if (!host.baseline_queue.empty()) {
                const attempt_pointer next = host.baseline_queue.front();
                host.baseline_queue.pop_front();
                serve(next);
            }
            return;
        }
        host.admitted_attempts.erase(attempt->id);
        apply_slot_change(host, host.limiter.finish(attempt->id, m_events.now()));
    }

    void apply_slot_change(worker_host& host, const slot_change& change) {
        for (const request_id id : change.run) {
            serve(host.admitted_attempts.at(id));
        }
        drop(host, change.dropped);
    }

    void drop(worker_host& host, const std::vector<request_id>& dropped) {
        for (const request_id id : dropped) {
            const attempt_pointer attempt = host.admitted_attempts.at(id);
            host.admitted_attempts.erase(id);
            respond_to_entry(attempt, attempt_outcome::refused_load);
        }
    }

    void cancel(const attempt_pointer& attempt) {
        worker_host& host = host_of(attempt);
        if (m_scenario.is_baseline || !host.admitted_attempts.contains(attempt->id)) {
            return;
        }
        host.admitted_attempts.erase(attempt->id);
        if (host.limiter.cancel(attempt->id) == cancel_result::running) {
            attempt->is_running = false;
            --host.running_attempts;
            apply_slot_change(host, host.limiter.finish(attempt->id, m_events.now()));
        }
    }

    void respond_to_entry(const attempt_pointer& attempt, attempt_outcome outcome) {
        const double load = reported_load(attempt);
        schedule(network_delay(attempt->call->entry, attempt->worker),
                 [this, attempt, outcome, load] { end_attempt(attempt, outcome, load); });
    }

    double reported_load(const attempt_pointer& attempt) {
        worker_host& host = host_of(attempt);
        if (!m_scenario.has_lagging_reports || m_events.now() - host.reported_at >= report_lag) {
            host.reported_load = host.limiter.load(m_events.now());
            host.reported_at = m_events.now();
        }
        return is_faulty(attempt->worker, worker_fault::lying) ? 0 : host.reported_load;
    }

    const routing_scenario& m_scenario;
    absl::Time m_start;
    event_queue m_events;
    std::mt19937_64 m_rng;
    route m_route;
    retry_policy m_retry_policy;
    connection_health m_connection_health;
    std::vector<absl::Time> m_phase_ends;
    std::vector<worker_host> m_workers;
    std::vector<entry_daemon> m_entries;
    request_id m_last_request_id = 0;
    std::vector<absl::Duration> m_latencies;
    routing_outcome m_outcome;
};

} // namespace

routing_outcome run_routing_scenario(const routing_scenario& scenario) {
    return routing_simulation(scenario).run();
}

} // namespace amaranthladder
