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

service_shape werkbank_shape() {
    service_shape shape;
    shape.name = "werkbank";
    shape.caller_delay = absl::Milliseconds(3);
    shape.center_delay = absl::Milliseconds(1.5);
    return shape;
}

service_shape tienda_shape() {
    service_shape shape;
    shape.name = "tienda";
    shape.slots = 12;
    shape.caller_delay = absl::Milliseconds(1);
    shape.center_delay = absl::Milliseconds(1);
    return shape;
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
    return calls == 0 ? 0 : static_cast<double>(good) / static_cast<double>(calls);
}

double routing_outcome::price_share() const {
    return price_calls == 0 ? 0 : static_cast<double>(price_good) / static_cast<double>(price_calls);
}

double routing_outcome::call_ratio() const {
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

constexpr int center_count = 4;
constexpr int entry_count = 10; // The daemons beside the upstreams of both services of a mesh.
constexpr absl::Duration price_patience = absl::Milliseconds(40);
constexpr absl::Duration local_delay = absl::Microseconds(50); // One way, inside a data centre.
constexpr absl::Duration report_lag = absl::Seconds(2);
constexpr absl::Duration gossip_delay = absl::Seconds(1); // Until entries learn of a change of the upstreams.
constexpr absl::Duration cold_period = absl::Seconds(4);
constexpr double cold_slowdown = 5;
constexpr int baseline_attempts = 3;

/// A request of a caller.
struct call {
    absl::Time sent;
    absl::Time deadline; ///< At the entry.
    int entry = 0;
    bool is_price = false;
    bool is_order = false;
    std::vector<std::string> tried;
};

/// One try of a call at one worker.
struct attempt {
    std::shared_ptr<call> of;
    request_id id = 0;
    int worker = 0;
    absl::Time started;
    bool is_over = false;    ///< The entry no longer waits for it.
    bool is_running = false; ///< The upstream works on it.
};

using attempt_pointer = std::shared_ptr<attempt>;

class entry_daemon {
public:
    entry_daemon(std::string data_center, const router_policy& policy)
        : routes(router_settings{.data_center = std::move(data_center), .policy = policy}), latency(2) {}

    router routes;
    retry_budget budget;
    std::vector<first_byte_latency> latency;               ///< By kind: ordinary, price.
    std::vector<std::vector<connection_info>> connections; ///< Idle ones by worker.
};

struct worker_host {
    worker_host(int slots, const slot_limiter_policy& policy) : limiter(slots, 2 * slots, policy) {}

    slot_limiter limiter;
    std::map<request_id, attempt_pointer> known; ///< Queued or running.
    std::deque<attempt_pointer> backlog;         ///< Of the baseline, which has no limiter.
    int running = 0;
    int connected = 0;
    double reported_load = 0;
    absl::Time reported_at = absl::InfinitePast();
    absl::Time cold_until = absl::InfinitePast();
    bool is_gone = false;
    std::uint64_t incarnation = 1;
};

class model {
public:
    explicit model(const routing_scenario& scenario)
        : m_scenario(scenario), m_start(absl::FromUnixSeconds(1'700'000'000)), m_events(m_start), m_rng(scenario.seed) {
        m_route.name = "orders";
        m_route.service = scenario.shape.name;
        for (int index = 0; index < scenario.shape.workers; ++index) {
            m_workers.emplace_back(scenario.shape.slots, scenario.limiting);
        }
        for (int index = 0; index < entry_count; ++index) {
            m_entries.emplace_back(center_name(index), scenario.routing);
            m_entries.back().connections.resize(m_workers.size());
        }
        announce();
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
        finish_latencies();
        return m_outcome;
    }

private:
    static std::string center_name(int index) {
        return fmt::format("center-{}", index % center_count);
    }

    bool is_faulty(int worker, worker_fault fault) const {
        return worker == 0 && m_scenario.fault == fault;
    }

    double uniform() {
        return std::uniform_real_distribution<double>(0, 1)(m_rng);
    }

    absl::Duration center_delay(int entry, int worker) const {
        return entry % center_count == worker % center_count ? local_delay : m_scenario.shape.center_delay;
    }

    void after(absl::Duration delay, std::function<void()> action) {
        m_events.add(m_events.now() + delay, std::move(action));
    }

    // Upstream list.

    void announce() {
        std::vector<upstream_record> records;
        for (int index = 0; index < static_cast<int>(m_workers.size()); ++index) {
            upstream_record record;
            record.id = std::to_string(index);
            record.service = m_scenario.shape.name;
            record.version = "v1";
            record.data_center = center_name(index);
            record.slots = m_scenario.shape.slots;
            record.is_leaving = m_workers[static_cast<std::size_t>(index)].is_gone;
            record.incarnation = m_workers[static_cast<std::size_t>(index)].incarnation;
            records.push_back(record);
        }
        for (entry_daemon& entry : m_entries) {
            entry.routes.set_upstreams(records, m_events.now());
        }
    }

    void schedule_replacement() {
        const absl::Duration length = m_phase_ends.back() - m_start;
        after(length * 0.2, [this] {
            m_workers[0].is_gone = true;
            m_workers[0].limiter.set_leaving();
            after(gossip_delay, [this] { announce(); });
        });
        after(length * 0.4, [this] {
            worker_host& host = m_workers[0];
            host.is_gone = false;
            host.limiter.clear_leaving();
            ++host.incarnation;
            host.cold_until = m_events.now() + cold_period;
            announce();
        });
    }

    // Callers.

    void schedule_call() {
        const auto phase = std::ranges::upper_bound(m_phase_ends, m_events.now());
        if (phase == m_phase_ends.end()) {
            return;
        }
        const double load = m_scenario.phases[static_cast<std::size_t>(phase - m_phase_ends.begin())].load;
        const double rate = load * m_scenario.shape.capacity() / mean_work();
        after(absl::Seconds(std::exponential_distribution<double>(rate)(m_rng)), [this] {
            send_call();
            schedule_call();
        });
    }

    /// @return mean work of a call, with an ordinary request as the unit.
    double mean_work() const {
        return 1 - m_scenario.price_share * 0.75;
    }

    void send_call() {
        auto sent = std::make_shared<call>();
        sent->sent = m_events.now();
        sent->entry = std::uniform_int_distribution<int>(0, entry_count - 1)(m_rng);
        sent->is_price = uniform() < m_scenario.price_share;
        sent->is_order = !sent->is_price && uniform() < 0.3;
        sent->deadline = sent->sent + patience(*sent) - m_scenario.shape.caller_delay;
        ++m_outcome.calls;
        m_outcome.price_calls += sent->is_price ? 1 : 0;
        ++second_slot(m_outcome.calls_by_second, m_events.now());
        after(m_scenario.shape.caller_delay, [this, sent] {
            entry_of(*sent).budget.on_request(m_route.service, m_events.now());
            start_attempt(sent);
        });
    }

    absl::Duration patience(const call& of) const {
        return of.is_price ? price_patience : m_scenario.shape.patience;
    }

    std::int64_t& second_slot(std::vector<std::int64_t>& seconds, absl::Time when) const {
        const auto second = static_cast<std::size_t>(absl::ToInt64Seconds(when - m_start));
        if (seconds.size() <= second) {
            seconds.resize(second + 1);
        }
        return seconds[second];
    }

    void answer_caller(const std::shared_ptr<call>& of, bool is_good) {
        after(m_scenario.shape.caller_delay, [this, of, is_good] {
            if (!is_good || m_events.now() > of->sent + patience(*of)) {
                return;
            }
            ++m_outcome.good;
            m_outcome.price_good += of->is_price ? 1 : 0;
            ++second_slot(m_outcome.good_by_second, m_events.now());
            m_latencies.push_back(m_events.now() - of->sent);
        });
    }

    void finish_latencies() {
        if (m_latencies.empty()) {
            return;
        }
        std::ranges::sort(m_latencies);
        m_outcome.median = m_latencies[m_latencies.size() / 2];
        m_outcome.slow = m_latencies[m_latencies.size() * 99 / 100];
    }

    // Entries.

    entry_daemon& entry_of(const call& of) {
        return m_entries[static_cast<std::size_t>(of.entry)];
    }

    void start_attempt(const std::shared_ptr<call>& of) {
        const absl::Time now = m_events.now();
        auto started = std::make_shared<attempt>();
        started->of = of;
        started->id = ++m_last_id;
        started->started = now;
        if (m_scenario.is_baseline) {
            started->worker = std::uniform_int_distribution<int>(0, m_scenario.shape.workers - 1)(m_rng);
        } else {
            const routing_request facts{
                .is_idempotent = !of->is_order, .deadline = of->deadline, .tried_upstreams = of->tried};
            const routing_decision decision = entry_of(*of).routes.choose(m_route, facts, now, m_rng);
            if (decision.is_refused()) {
                ++m_outcome.refused;
                return answer_caller(of, false);
            }
            started->worker = std::stoi(decision.upstream_id);
            entry_of(*of).routes.on_started(decision.upstream_id, now);
            const absl::Duration timeout = m_health.first_byte_timeout(entry_of(*of).latency[of->is_price ? 1 : 0],
                                                                       !of->is_order, of->deadline - now);
            after(timeout, [this, started] { give_up(started); });
        }
        ++m_outcome.attempts;
        m_outcome.faulty_attempts += started->worker == 0 ? 1 : 0;
        after(connect(started) + center_delay(of->entry, started->worker), [this, started] { arrive(started); });
    }

    absl::Duration connect(const attempt_pointer& started) {
        auto& idle = entry_of(*started->of).connections[static_cast<std::size_t>(started->worker)];
        while (!idle.empty()) {
            const connection_info newest = idle.back();
            if (m_health.may_reuse(newest, !started->of->is_order, m_events.now())) {
                idle.pop_back();
                return absl::ZeroDuration();
            }
            if (!m_health.is_expired(newest, m_events.now())) {
                break;
            }
            idle.pop_back();
        }
        return m_scenario.shape.connect_time;
    }

    void give_up(const attempt_pointer& of) {
        if (of->is_over) {
            return;
        }
        after(center_delay(of->of->entry, of->worker), [this, of] { cancel(of); });
        end_attempt(of, attempt_outcome::sent_no_answer, std::nullopt);
    }

    void end_attempt(const attempt_pointer& of, attempt_outcome outcome, std::optional<double> load) {
        if (of->is_over) {
            return;
        }
        of->is_over = true;
        const absl::Time now = m_events.now();
        entry_daemon& entry = entry_of(*of->of);
        const absl::Duration latency = now - of->started;
        if (!m_scenario.is_baseline) {
            entry.routes.on_finished(std::to_string(of->worker), outcome, latency, load, now);
        }
        if (outcome == attempt_outcome::answered) {
            entry.latency[of->of->is_price ? 1 : 0].observe(latency);
        }
        if (outcome != attempt_outcome::sent_no_answer && outcome != attempt_outcome::connect_failed) {
            entry.connections[static_cast<std::size_t>(of->worker)].push_back({of->id, of->started, now});
        }
        if (outcome == attempt_outcome::answered || outcome == attempt_outcome::answered_error) {
            return answer_caller(of->of, outcome == attempt_outcome::answered);
        }
        retry(of, outcome);
    }

    void retry(const attempt_pointer& of, attempt_outcome outcome) {
        of->of->tried.push_back(std::to_string(of->worker));
        const int attempts = static_cast<int>(of->of->tried.size());
        const absl::Time now = m_events.now();
        const bool is_allowed = m_scenario.is_baseline ? attempts < baseline_attempts && now < of->of->deadline
                                                       : m_retries
                                                             .decide({.service = m_route.service,
                                                                      .method = of->of->is_order ? "POST" : "GET",
                                                                      .outcome = outcome,
                                                                      .deadline = of->of->deadline,
                                                                      .attempts = attempts},
                                                                     entry_of(*of->of).budget, now)
                                                             .is_allowed;
        if (is_allowed) {
            return start_attempt(of->of);
        }
        m_outcome.refused += is_not_run(outcome) ? 1 : 0;
        answer_caller(of->of, false);
    }

    // Owners and upstreams.

    worker_host& host_of(const attempt_pointer& of) {
        return m_workers[static_cast<std::size_t>(of->worker)];
    }

    void arrive(const attempt_pointer& of) {
        worker_host& host = host_of(of);
        if (m_scenario.is_baseline) {
            return arrive_without_limit(of);
        }
        const absl::Time deadline = m_events.now() + (of->of->deadline - of->started);
        const admission answer =
            host.limiter.offer(of->id, deadline, m_events.now(), of->of->is_price ? "price" : "orders");
        if (answer.result == admission::verdict::refused) {
            return answer_entry(of, answer.refusal == result_code::upstream_leaving ? attempt_outcome::refused_leaving
                                                                                    : attempt_outcome::refused_load);
        }
        host.known[of->id] = of;
        if (answer.result == admission::verdict::run) {
            serve(of);
        } else if (const auto expiry = host.limiter.next_expiry()) {
            m_events.add(std::max(*expiry, m_events.now()),
                         [this, &host] { drop(host, host.limiter.expire(m_events.now())); });
        }
    }

    void arrive_without_limit(const attempt_pointer& of) {
        worker_host& host = host_of(of);
        if (host.is_gone || is_faulty(of->worker, worker_fault::refusing) ||
            host.connected >= m_scenario.shape.connections) {
            return answer_entry(of, attempt_outcome::connect_failed);
        }
        ++host.connected;
        if (host.running < m_scenario.shape.slots) {
            return serve(of);
        }
        host.backlog.push_back(of);
    }

    void serve(const attempt_pointer& of) {
        worker_host& host = host_of(of);
        of->is_running = true;
        ++host.running;
        if (is_faulty(of->worker, worker_fault::refusing)) {
            return after(local_delay, [this, of] { finish(of, attempt_outcome::connect_failed); });
        }
        const bool sheds = is_faulty(of->worker, worker_fault::shedding) && host.running > m_scenario.shape.slots / 2;
        if (sheds || (is_faulty(of->worker, worker_fault::failing) && uniform() < 0.5)) {
            return after(absl::Milliseconds(1), [this, of] { finish(of, attempt_outcome::answered_error); });
        }
        after(service_time(of), [this, of] { finish(of, attempt_outcome::answered); });
    }

    absl::Duration service_time(const attempt_pointer& of) {
        // Log-normal with a standard deviation of about half the mean.
        constexpr double sigma = 0.47;
        double factor = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_rng);
        factor *= of->of->is_price ? 0.25 : 1;
        factor *= is_faulty(of->worker, worker_fault::slow) ? 10 : 1;
        factor *= m_events.now() < host_of(of).cold_until ? cold_slowdown : 1;
        return m_scenario.shape.service_time * factor;
    }

    void finish(const attempt_pointer& of, attempt_outcome outcome) {
        if (!of->is_running) {
            return; // Cancelled meanwhile.
        }
        of->is_running = false;
        worker_host& host = host_of(of);
        --host.running;
        answer_entry(of, outcome);
        if (m_scenario.is_baseline) {
            --host.connected;
            if (!host.backlog.empty()) {
                const attempt_pointer next = host.backlog.front();
                host.backlog.pop_front();
                serve(next);
            }
            return;
        }
        host.known.erase(of->id);
        apply(host, host.limiter.finish(of->id, m_events.now()));
    }

    void apply(worker_host& host, const slot_change& change) {
        for (const request_id id : change.run) {
            serve(host.known.at(id));
        }
        drop(host, change.dropped);
    }

    void drop(worker_host& host, const std::vector<request_id>& dropped) {
        for (const request_id id : dropped) {
            const attempt_pointer of = host.known.at(id);
            host.known.erase(id);
            answer_entry(of, attempt_outcome::refused_load);
        }
    }

    void cancel(const attempt_pointer& of) {
        worker_host& host = host_of(of);
        if (m_scenario.is_baseline || !host.known.contains(of->id)) {
            return;
        }
        host.known.erase(of->id);
        if (host.limiter.cancel(of->id) == cancel_result::running) {
            of->is_running = false;
            --host.running;
            apply(host, host.limiter.finish(of->id, m_events.now()));
        }
    }

    void answer_entry(const attempt_pointer& of, attempt_outcome outcome) {
        const double load = reported_load(of);
        after(center_delay(of->of->entry, of->worker), [this, of, outcome, load] { end_attempt(of, outcome, load); });
    }

    double reported_load(const attempt_pointer& of) {
        worker_host& host = host_of(of);
        if (!m_scenario.has_lagging_reports || m_events.now() - host.reported_at >= report_lag) {
            host.reported_load = host.limiter.load();
            host.reported_at = m_events.now();
        }
        return is_faulty(of->worker, worker_fault::lying) ? 0 : host.reported_load;
    }

    const routing_scenario& m_scenario;
    absl::Time m_start;
    event_queue m_events;
    std::mt19937_64 m_rng;
    route m_route;
    retry_policy m_retries;
    connection_health m_health;
    std::vector<absl::Time> m_phase_ends;
    std::vector<worker_host> m_workers;
    std::vector<entry_daemon> m_entries;
    request_id m_last_id = 0;
    std::vector<absl::Duration> m_latencies;
    routing_outcome m_outcome;
};

} // namespace

routing_outcome run_routing_scenario(const routing_scenario& scenario) {
    return model(scenario).run();
}

} // namespace amaranthladder
