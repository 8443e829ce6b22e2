#include "data_center_model.h"

#include "event_queue.h"
#include "routing/recent_value.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <random>
#include <vector>

namespace amaranthladder {

namespace {

constexpr int data_center_count = 3;
constexpr int entries_per_data_center = 20;
constexpr int servers_per_data_center = 72; ///< Six upstreams of twelve slots.
constexpr double work_s = 0.14;
constexpr double round_trip_s = 0.0028;
constexpr double deadline_s = 3;
constexpr absl::Duration exchange_interval = absl::Milliseconds(500);
constexpr double former_fraction = 0.5;

/// What an entry has heard of the wait in a data centre, in seconds.
using heard_wait = recent_value;

class data_center_simulation {
public:
    explicit data_center_simulation(const data_center_scenario& scenario)
        : m_scenario(scenario), m_choice(scenario.policy), m_start(absl::FromUnixSeconds(1'700'000'000)),
          m_events(m_start), m_rng(scenario.seed) {
        for (int center = 0; center < data_center_count; ++center) {
            m_free_at.emplace_back(servers_per_data_center, m_start);
            m_views.emplace_back(
                entries_per_data_center,
                std::vector<heard_wait>(data_center_count, heard_wait(absl::Milliseconds(500), absl::Seconds(5))));
        }
    }

    data_center_outcome run() {
        for (int center = 0; center < data_center_count; ++center) {
            schedule_arrival(center);
        }
        while (m_events.run_next()) {
        }
        return evaluate();
    }

private:
    absl::Duration elapsed() const {
        return m_events.now() - m_start;
    }

    void schedule_arrival(int center) {
        constexpr double capacity = servers_per_data_center / work_s;
        const double rate = std::max(m_scenario.load(center, elapsed()), 0.01) * capacity;
        const absl::Time next = m_events.now() + absl::Seconds(std::exponential_distribution<double>(rate)(m_rng));
        if (next - m_start < m_scenario.length) {
            m_events.add(next, [this, center] {
                arrive(center);
                schedule_arrival(center);
            });
        }
    }

    std::size_t serving(int center) const {
        const double share = center == 0 ? m_scenario.serving_share(elapsed()) : 1;
        return static_cast<std::size_t>(share * servers_per_data_center);
    }

    void arrive(int center) {
        const int entry = std::uniform_int_distribution<int>(0, entries_per_data_center - 1)(m_rng);
        std::vector<heard_wait>& view = m_views[static_cast<std::size_t>(center)][static_cast<std::size_t>(entry)];
        const int other =
            (center + std::uniform_int_distribution<int>(1, data_center_count - 1)(m_rng)) % data_center_count;
        const heard_wait& there = view[static_cast<std::size_t>(other)];
        const absl::Time now = m_events.now();
        data_center_question question;
        question.at_home = absl::Seconds(work_s + view[static_cast<std::size_t>(center)].value(now));
        question.elsewhere = absl::Seconds(work_s + round_trip_s + there.value(now));
        question.time_to_target = m_scenario.target;
        question.time_to_deadline = absl::Seconds(deadline_s);
        question.bytes = m_scenario.request_bytes;
        question.elsewhere_age = there.age(now);
        const bool leaves = serving(center) == 0 || is_sent_away(question);
        serve(center, leaves ? other : center, view);
    }

    bool is_sent_away(const data_center_question& question) {
        if (m_scenario.uses_fixed_fraction) {
            return question.at_home > question.time_to_target * former_fraction &&
                   question.at_home > question.elsewhere;
        }
        return std::uniform_real_distribution<double>(0, 1)(m_rng) < m_choice.leave_probability(question);
    }

    void serve(int origin, int chosen, std::vector<heard_wait>& view) {
        const absl::Time now = m_events.now();
        std::vector<absl::Time>& servers = m_free_at[static_cast<std::size_t>(chosen)];
        const auto end = servers.begin() + static_cast<std::ptrdiff_t>(serving(chosen));
        const auto next = std::min_element(servers.begin(), end);
        const absl::Duration wait = std::max(*next - now, absl::ZeroDuration());
        const bool is_refused = absl::ToDoubleSeconds(wait) + work_s > deadline_s;
        constexpr double sigma = 0.3;
        const double factor = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_rng);
        const absl::Duration work = is_refused ? absl::ZeroDuration() : absl::Seconds(work_s * factor);
        if (!is_refused) {
            *next = std::max(*next, now) + work;
        }
        const absl::Duration latency = (is_refused ? absl::ZeroDuration() : wait + work) +
                                       (chosen == origin ? absl::ZeroDuration() : absl::Seconds(round_trip_s));
        record(origin, chosen, is_refused ? absl::Seconds(deadline_s) : latency);
        m_events.add(now + latency, [this, chosen, &view] {
            view[static_cast<std::size_t>(chosen)].observe(current_wait(chosen), m_events.now());
        });
    }

    double current_wait(int center) const {
        const std::vector<absl::Time>& servers = m_free_at[static_cast<std::size_t>(center)];
        const auto end = servers.begin() + static_cast<std::ptrdiff_t>(serving(center));
        const absl::Duration wait =
            serving(center) == 0 ? absl::Seconds(deadline_s) : *std::min_element(servers.begin(), end) - m_events.now();
        return std::max(0.0, absl::ToDoubleSeconds(wait));
    }

    void record(int origin, int chosen, absl::Duration latency) {
        const absl::Duration since = elapsed();
        if (since < m_scenario.measured_from || since >= m_scenario.measured_until) {
            return;
        }
        m_latencies.push_back(latency);
        m_in_time += latency <= m_scenario.target ? 1 : 0;
        if (origin == chosen) {
            return;
        }
        const auto interval = static_cast<std::size_t>(since / exchange_interval);
        if (m_flows.size() <= interval) {
            m_flows.resize(interval + 1);
        }
        ++m_flows[interval].out.at(static_cast<std::size_t>(origin));
        ++m_flows[interval].in.at(static_cast<std::size_t>(chosen));
        ++m_left;
    }

    data_center_outcome evaluate() {
        data_center_outcome outcome;
        outcome.requests = static_cast<std::int64_t>(m_latencies.size());
        const auto requests = static_cast<double>(outcome.requests);
        outcome.in_time = static_cast<double>(m_in_time) / requests;
        outcome.left = static_cast<double>(m_left) / requests;
        outcome.megabytes = static_cast<double>(m_left) * m_scenario.request_bytes / 1e6;
        double exchanged = 0;
        for (const flow& interval : m_flows) {
            for (std::size_t center = 0; center < data_center_count; ++center) {
                exchanged += std::min(interval.out.at(center), interval.in.at(center));
            }
        }
        outcome.exchanged = m_left == 0 ? 0 : exchanged / static_cast<double>(m_left);
        std::ranges::sort(m_latencies);
        outcome.p99 = m_latencies[m_latencies.size() * 99 / 100];
        return outcome;
    }

    /// Requests that left and came to each data centre within an interval.
    struct flow {
        std::array<int, data_center_count> out{};
        std::array<int, data_center_count> in{};
    };

    const data_center_scenario& m_scenario;
    data_center_choice m_choice;
    absl::Time m_start;
    event_queue m_events;
    std::mt19937_64 m_rng;
    std::vector<std::vector<absl::Time>> m_free_at;            ///< By data centre and server.
    std::vector<std::vector<std::vector<heard_wait>>> m_views; ///< By data centre and entry, of each data centre.
    std::vector<flow> m_flows;
    std::vector<absl::Duration> m_latencies;
    std::int64_t m_in_time = 0;
    std::int64_t m_left = 0;
};

} // namespace

data_center_outcome run_data_centers(const data_center_scenario& scenario) {
    return data_center_simulation(scenario).run();
}

} // namespace amaranthladder
