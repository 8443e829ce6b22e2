#include "routing/router.h"

#include "../bench/event_queue.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(routing_replay_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

absl::Time at(const std::string& ms) {
    return start + absl::Milliseconds(std::stod(ms));
}

attempt_outcome parse_outcome(const std::string& text) {
    for (const attempt_outcome outcome : {attempt_outcome::answered, attempt_outcome::answered_error,
                                          attempt_outcome::refused_load, attempt_outcome::connect_failed}) {
        if (name(outcome) == text) {
            return outcome;
        }
    }
    throw std::invalid_argument("unknown outcome " + text);
}

/// How attempts at an upstream end.
struct behaviour {
    attempt_outcome outcome = attempt_outcome::answered;
    absl::Duration latency;
    double load = 0;
};

/// Replays a trace against a router. The first line of each trace describes it; routing_slow_upstream.csv describes the
/// format.
class replay {
public:
    replay(const std::string& file, const router_policy& policy)
        : m_router({.data_center = "a", .policy = policy}), m_events(start), m_rng(1) {
        std::ifstream lines(std::string(TEST_TRACES_FOLDER) + "/" + file);
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.front() != '#') {
                m_rows.emplace_back();
                boost::algorithm::split(m_rows.back(), line, boost::algorithm::is_any_of(","));
            }
        }
        BOOST_TEST_REQUIRE(!m_rows.empty());
    }

    /// @return the unmet expectations, one per line.
    std::string run() {
        for (const auto& row : m_rows) {
            schedule(row);
        }
        m_router.set_upstreams(m_records, start);
        while (m_events.run_next()) {
        }
        std::string unmet;
        for (const auto& row : m_rows) {
            unmet += row.at(0) == "expect" ? check(row) : "";
        }
        return unmet;
    }

private:
    void schedule(const std::vector<std::string>& row) {
        if (row.at(0) == "upstream") {
            upstream_record record;
            record.id = row.at(1);
            record.service = "werkbank";
            record.data_center = row.at(2);
            record.slots = std::stoi(row.at(3));
            m_records.push_back(record);
        } else if (row.at(0) == "calls") {
            const absl::Duration gap = absl::Seconds(1 / std::stod(row.at(3)));
            for (absl::Time when = at(row.at(1)); when < at(row.at(2)); when += gap) {
                m_events.add(when, [this] { send(); });
            }
        } else if (row.at(0) == "ends") {
            const behaviour ends{parse_outcome(row.at(3)), absl::Milliseconds(std::stod(row.at(4))),
                                 std::stod(row.at(5))};
            m_events.add(at(row.at(1)), [this, id = row.at(2), ends] { m_behaviours[id] = ends; });
        }
    }

    void send() {
        route target;
        target.service = "werkbank";
        const absl::Time now = m_events.now();
        const routing_decision decision =
            m_router.choose(target, {.is_idempotent = true, .tried_upstreams = {}}, now, m_rng);
        m_attempts.emplace_back(now, decision.upstream_id);
        m_router.on_started(decision.upstream_id, now);
        const behaviour ends = m_behaviours[decision.upstream_id];
        m_events.add(now + ends.latency, [this, ends, id = decision.upstream_id] {
            m_router.on_finished(id, ends.outcome, ends.latency, ends.load, m_events.now());
        });
    }

    std::string check(const std::vector<std::string>& row) const {
        double all = 0;
        double matching = 0;
        for (const auto& [when, id] : m_attempts) {
            const bool is_inside = when >= at(row.at(1)) && when < at(row.at(2));
            all += is_inside ? 1 : 0;
            matching += is_inside && id == row.at(3) ? 1 : 0;
        }
        const double share = matching / all;
        const bool is_met = share >= std::stod(row.at(4)) && share <= std::stod(row.at(5));
        return is_met ? "" : row.at(3) + " from " + row.at(1) + " ms: share " + std::to_string(share) + "\n";
    }

    router m_router;
    event_queue m_events;
    std::mt19937_64 m_rng;
    std::vector<std::vector<std::string>> m_rows;
    std::vector<upstream_record> m_records;
    std::map<std::string, behaviour> m_behaviours;
    std::vector<std::pair<absl::Time, std::string>> m_attempts;
};

constexpr const char* traces[] = {"routing_slow_upstream.csv", "routing_refusing_upstream.csv",
                                  "routing_lying_upstream.csv"};

// Guards against a router that does not distribute requests as the traces expect.
BOOST_DATA_TEST_CASE(traces_meet_expectations, boost::unit_test::data::make(traces), file) {
    BOOST_TEST(replay(file, {}).run() == "");
}

// Shows that the replay detects a router that ignores latency and failures and trusts load reports too much.
BOOST_DATA_TEST_CASE(the_replay_detects_a_policy_without_feedback, boost::unit_test::data::make(traces), file) {
    router_policy broken;
    broken.latency = {.weight_up = 0, .weight_down = 0};
    broken.ejection.max_ejected_share = 0;
    broken.connect_penalty = absl::ZeroDuration();
    broken.refusal_penalty = absl::ZeroDuration();
    broken.reported_load_weight = 10;
    BOOST_TEST(replay(file, broken).run() != "");
}

BOOST_AUTO_TEST_SUITE_END()
