#include "uneven_load_model.h"

#include "event_queue.h"
#include "routing/link_meter.h"
#include "routing/server_load.h"
#include "routing/slot_limiter.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace amaranthladder {

std::string_view name(uneven_load_policy value) {
    switch (value) {
    case uneven_load_policy::reported_load:
        return "reported load";
    case uneven_load_policy::completion:
        return "completion, two";
    case uneven_load_policy::least_of_all:
        return "completion, all";
    }
    return "unknown";
}

namespace {

constexpr int entry_count = 20;
constexpr int slots = 12;
constexpr std::array<int, 3> upstreams_by_data_center{2, 3, 3};
/// Work of each upstream relative to the usual one, in the order of the data centres.
constexpr std::array<double, 8> host_factors{0.5, 1.7, 0.6, 1.0, 1.4, 0.8, 1.2, 1.0};
constexpr double neighbour_factor = 2.5;
constexpr double neighbour_share = 0.15;
constexpr absl::Duration neighbour_interval = absl::Milliseconds(600);
constexpr absl::Duration local_delay = absl::Microseconds(300);
constexpr absl::Duration remote_delay = absl::Microseconds(1400);
constexpr std::size_t chunk_bytes = 16'000; ///< Connections share a link by turns of this size.
constexpr double long_share = 0.03;
constexpr double long_factor = 7;
/// Draws for least_of_all; each compares two of at most eight candidates, so all are seen with high probability.
constexpr int draws_of_all = 40;

/// A kind of request.
struct request_class {
    std::string name;
    double per_second;
    absl::Duration work;
    absl::Duration target;
    absl::Duration deadline;
    std::size_t request_bytes;
    std::size_t response_bytes;
};

const std::array<request_class, 2> classes{
    request_class{"stops", 740, absl::Milliseconds(42), absl::Milliseconds(150), absl::Milliseconds(500), 500, 2'000},
    request_class{"uploads", 156, absl::Milliseconds(170), absl::Milliseconds(800), absl::Seconds(5), 60'000, 300}};

struct sent_request {
    const request_class* kind = nullptr;
    route target;
    int entry = 0;
    std::size_t upstream = 0;
    request_id id = 0;
    absl::Time sent_at;
    absl::Time started_at;
    absl::Duration expected;
    bool is_over = false;
};
using request_pointer = std::shared_ptr<sent_request>;

/// The link of a host, which sends the chunks of its transfers in turns.
class shared_link {
public:
    shared_link(event_queue& events, double mbps) : m_events(events), m_mbps(mbps) {}

    void transfer(std::size_t bytes, std::function<void()> done) {
        if (m_mbps <= 0) {
            done();
            return;
        }
        m_waiting.push_back({bytes, std::move(done)});
        if (!m_is_busy) {
            send_next();
        }
    }

    std::uint64_t total() const {
        return m_total;
    }

private:
    struct waiting_transfer {
        std::size_t left;
        std::function<void()> done;
    };

    void send_next() {
        m_is_busy = !m_waiting.empty();
        if (!m_is_busy) {
            return;
        }
        waiting_transfer next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const std::size_t sent = std::min(next.left, chunk_bytes);
        next.left -= sent;
        m_events.add(m_events.now() + absl::Seconds(static_cast<double>(sent) * 8 / (m_mbps * 1e6)),
                     [this, sent, next = std::move(next)]() mutable {
                         m_total += sent;
                         if (next.left > 0) {
                             m_waiting.push_back(std::move(next));
                         } else {
                             next.done();
                         }
                         send_next();
                     });
    }

    event_queue& m_events;
    double m_mbps;
    std::deque<waiting_transfer> m_waiting;
    std::uint64_t m_total = 0;
    bool m_is_busy = false;
};

/// An upstream and its owner.
struct upstream_host {
    upstream_host(event_queue& events, double mbps)
        : limiter(slots, 200, {.order = queue_order::target_first}), link(events, mbps), meter(mbps) {}

    slot_limiter limiter;
    server_load load;
    shared_link link;
    link_meter meter;
    std::map<request_id, request_pointer> admitted;
    bool has_busy_neighbour = false;
    std::int64_t requests = 0;
};

class uneven_load_simulation {
public:
    explicit uneven_load_simulation(const uneven_load_scenario& scenario)
        : m_scenario(scenario), m_start(absl::FromUnixSeconds(1'700'000'000)), m_events(m_start), m_rng(scenario.seed) {
        std::vector<upstream_record> records;
        for (std::size_t center = 0; center < upstreams_by_data_center.size(); ++center) {
            for (int number = 0; number < upstreams_by_data_center.at(center); ++number) {
                upstream_record record;
                record.id = std::to_string(records.size());
                record.service = "timetables";
                record.version = "v1";
                record.data_center = std::to_string(center);
                record.slots = slots;
                records.push_back(record);
                m_hosts.push_back(std::make_unique<upstream_host>(m_events, scenario.link_mbps));
            }
        }
        for (int index = 0; index < entry_count; ++index) {
            m_routers.push_back(std::make_unique<router>(
                router_settings{.data_center = data_center_of_entry(index), .policy = routing_policy()}));
            m_routers.back()->set_upstreams(records, m_start);
        }
        m_records = records;
    }

    uneven_load_outcome run() {
        change_neighbours();
        for (const request_class& kind : classes) {
            schedule_next(kind);
        }
        while (m_events.run_next()) {
        }
        return evaluate();
    }

private:
    static std::string data_center_of_entry(int index) {
        return std::to_string(static_cast<std::size_t>(index) % upstreams_by_data_center.size());
    }

    bool uses_completion() const {
        return m_scenario.policy != uneven_load_policy::reported_load;
    }

    router_policy routing_policy() const {
        router_policy policy = m_scenario.routing_policy;
        if (!uses_completion()) {
            policy.completion.spread_weight = 0;
            policy.max_excess = 0;
            policy.report_memory = policy.reported_load_decay;
        }
        return policy;
    }

    bool has_ended() const {
        return m_events.now() - m_start >= m_scenario.length;
    }

    double uniform() {
        return std::uniform_real_distribution<double>(0, 1)(m_rng);
    }

    void change_neighbours() {
        for (const auto& host : m_hosts) {
            host->has_busy_neighbour = uniform() < neighbour_share;
        }
        if (!has_ended()) {
            m_events.add(m_events.now() + neighbour_interval, [this] { change_neighbours(); });
        }
    }

    void schedule_next(const request_class& kind) {
        const double rate = kind.per_second * m_scenario.load;
        m_events.add(m_events.now() + absl::Seconds(std::exponential_distribution<double>(rate)(m_rng)), [this, &kind] {
            if (!has_ended()) {
                send(kind);
                schedule_next(kind);
            }
        });
    }

    void send(const request_class& kind) {
        const absl::Time now = m_events.now();
        auto sent = std::make_shared<sent_request>();
        sent->kind = &kind;
        sent->target.name = kind.name;
        sent->target.service = "timetables";
        sent->target.target_latency = kind.target;
        sent->entry = std::uniform_int_distribution<int>(0, entry_count - 1)(m_rng);
        sent->id = ++m_last_id;
        sent->sent_at = now;
        const routing_decision decision = choose(*sent);
        sent->upstream = static_cast<std::size_t>(std::stoi(decision.upstream_id));
        sent->expected = decision.chosen->expected();
        router_of(*sent).on_started(decision.upstream_id, now);
        ++host_of(*sent).requests;
        const bool is_remote = m_records[sent->upstream].data_center != data_center_of_entry(sent->entry);
        m_remote += is_remote ? 1 : 0;
        const absl::Duration delay = is_remote ? remote_delay : local_delay;
        m_events.add(now + delay, [this, sent] {
            host_of(*sent).link.transfer(sent->kind->request_bytes, [this, sent] { arrive(sent); });
        });
        m_events.add(now + kind.deadline, [this, sent] { give_up(sent); });
    }

    routing_decision choose(const sent_request& sent) {
        const routing_request request{.deadline = sent.sent_at + sent.kind->deadline,
                                      .target_time = sent.sent_at + sent.kind->target};
        routing_decision best = router_of(sent).choose(sent.target, request, m_events.now(), m_rng);
        const int draws = m_scenario.policy == uneven_load_policy::least_of_all ? draws_of_all : 1;
        for (int draw = 1; draw < draws; ++draw) {
            routing_decision other = router_of(sent).choose(sent.target, request, m_events.now(), m_rng);
            if (other.chosen->cost < best.chosen->cost) {
                best = std::move(other);
            }
        }
        return best;
    }

    router& router_of(const sent_request& sent) {
        return *m_routers[static_cast<std::size_t>(sent.entry)];
    }

    upstream_host& host_of(const sent_request& sent) {
        return *m_hosts[sent.upstream];
    }

    void arrive(const request_pointer& sent) {
        if (sent->is_over) {
            return;
        }
        upstream_host& host = host_of(*sent);
        slot_request wanted;
        wanted.id = sent->id;
        wanted.deadline = sent->sent_at + sent->kind->deadline;
        wanted.kind = sent->kind->name;
        wanted.target_time = sent->sent_at + sent->kind->target;
        const admission answer = host.limiter.offer(wanted, m_events.now());
        if (answer.result == admission::verdict::refused) {
            end(sent, attempt_outcome::refused_load, make_report(*sent));
            return;
        }
        host.admitted[sent->id] = sent;
        if (answer.result == admission::verdict::run) {
            start(sent);
        } else if (const auto expiry = host.limiter.next_expiry()) {
            m_events.add(std::max(*expiry, m_events.now()), [this, &host] {
                apply(host, {{}, host.limiter.expire(m_events.now())});
            });
        }
    }

    void start(const request_pointer& sent) {
        constexpr double sigma = 0.3;
        sent->started_at = m_events.now();
        double factor = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_rng);
        factor *= uniform() < long_share ? long_factor : 1;
        factor *= host_factors.at(sent->upstream) * (host_of(*sent).has_busy_neighbour ? neighbour_factor : 1);
        m_events.add(m_events.now() + sent->kind->work * factor, [this, sent] { finish(sent); });
    }

    void finish(const request_pointer& sent) {
        upstream_host& host = host_of(*sent);
        const absl::Time now = m_events.now();
        server_load_report report{host.limiter.running(), 0, slots, 1};
        if (m_scenario.has_false_reports) {
            report.running = 0;
        } else {
            report.work_factor = host.has_busy_neighbour ? neighbour_factor : 1;
        }
        host.load.observe(report, sent->kind->name, now - sent->started_at, host.limiter.running(), now);
        host.admitted.erase(sent->id);
        apply(host, host.limiter.finish(sent->id, now));
        const owner_report reported = make_report(*sent);
        host.link.transfer(sent->kind->response_bytes,
                           [this, sent, reported] { end(sent, attempt_outcome::answered, reported); });
    }

    void apply(upstream_host& host, const slot_change& change) {
        for (const request_id id : change.run) {
            start(host.admitted.at(id));
        }
        for (const request_id id : change.dropped) {
            const request_pointer dropped = host.admitted.at(id);
            host.admitted.erase(id);
            end(dropped, attempt_outcome::refused_load, make_report(*dropped));
        }
    }

    owner_report make_report(const sent_request& sent) {
        upstream_host& host = host_of(sent);
        const absl::Time now = m_events.now();
        const std::string& kind = sent.kind->name;
        owner_report report{.load = host.limiter.load(now),
                            .service_time = host.limiter.service_time(),
                            .route_service_time = host.limiter.service_time(kind)};
        if (uses_completion()) {
            report.load = host.load.load(report.load, now);
            report.service_time = host.load.usual_service_time(report.service_time);
            report.route_service_time = host.load.usual_service_time(report.route_service_time, kind);
            report.work_factor = host.load.work_factor(now);
            host.meter.observe(host.link.total(), now);
            report.link_utilisation = host.meter.utilisation();
            report.link_mbps = host.meter.megabits_per_second();
        }
        return report;
    }

    void end(const request_pointer& sent, attempt_outcome outcome, const std::optional<owner_report>& report) {
        if (sent->is_over) {
            return;
        }
        sent->is_over = true;
        const absl::Time now = m_events.now();
        const std::string id = std::to_string(sent->upstream);
        router_of(*sent).on_finished(id, outcome, now - sent->sent_at, std::nullopt, now, sent->expected);
        if (report) {
            router_of(*sent).on_report(id, sent->kind->name, *report, now);
        }
        if (uses_completion() && outcome == attempt_outcome::answered) {
            router_of(*sent).on_transfer(sent->kind->name, static_cast<double>(sent->kind->request_bytes),
                                         static_cast<double>(sent->kind->response_bytes));
        }
        const bool is_answered = outcome == attempt_outcome::answered;
        m_latencies[sent->kind->name].push_back(is_answered ? now - sent->sent_at : sent->kind->deadline);
        m_given_up[sent->kind->name] += is_answered ? 0 : 1;
    }

    void give_up(const request_pointer& sent) {
        if (sent->is_over) {
            return;
        }
        upstream_host& host = host_of(*sent);
        if (host.limiter.cancel(sent->id) == cancel_result::queued) {
            host.admitted.erase(sent->id);
        }
        end(sent, attempt_outcome::cancelled, std::nullopt);
    }

    uneven_load_outcome evaluate() {
        uneven_load_outcome outcome;
        const auto in_time = [&](const request_class& kind) {
            const auto& latencies = m_latencies[kind.name];
            return static_cast<double>(
                       std::ranges::count_if(latencies, [&](absl::Duration one) { return one <= kind.target; })) /
                   static_cast<double>(latencies.size());
        };
        const auto p99 = [&](const request_class& kind) {
            auto& latencies = m_latencies[kind.name];
            std::ranges::sort(latencies);
            return latencies[latencies.size() * 99 / 100];
        };
        std::int64_t busiest = 0;
        for (const auto& host : m_hosts) {
            outcome.requests += host->requests;
            busiest = std::max(busiest, host->requests);
        }
        const auto requests = static_cast<double>(outcome.requests);
        outcome.lookups_in_time = in_time(classes[0]);
        outcome.uploads_in_time = in_time(classes[1]);
        outcome.lookups_given_up =
            static_cast<double>(m_given_up[classes[0].name]) / static_cast<double>(m_latencies[classes[0].name].size());
        outcome.lookup_p99 = p99(classes[0]);
        outcome.upload_p99 = p99(classes[1]);
        outcome.busiest_to_mean = static_cast<double>(busiest) * static_cast<double>(m_hosts.size()) / requests;
        outcome.remote_share = static_cast<double>(m_remote) / requests;
        return outcome;
    }

    const uneven_load_scenario& m_scenario;
    absl::Time m_start;
    event_queue m_events;
    std::mt19937_64 m_rng;
    std::vector<upstream_record> m_records;
    std::vector<std::unique_ptr<upstream_host>> m_hosts;
    std::vector<std::unique_ptr<router>> m_routers;
    request_id m_last_id = 0;
    std::int64_t m_remote = 0;
    std::map<std::string, std::vector<absl::Duration>> m_latencies;
    std::map<std::string, std::int64_t> m_given_up;
};

} // namespace

uneven_load_outcome run_uneven_load(const uneven_load_scenario& scenario) {
    return uneven_load_simulation(scenario).run();
}

} // namespace amaranthladder
