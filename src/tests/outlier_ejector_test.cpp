#include "routing/outlier_ejector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(outlier_ejector_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

std::vector<std::string> members(int count) {
    std::vector<std::string> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int id = 0; id < count; ++id) {
        ids.push_back(std::to_string(id));
    }
    return ids;
}

struct outlier_row {
    const char* name;
    int group;           ///< Members of the group.
    int failing;         ///< Number of members that fail; the others never do.
    double failure_rate; ///< Failure rate of the failing members.
    std::size_t min_ejected;
    std::size_t max_ejected;

    friend std::ostream& operator<<(std::ostream& out, const outlier_row& row) {
        return out << row.name;
    }
};

const outlier_row outlier_rows[] = {
    {"all healthy", 6, 0, 0, 0, 0},
    {"one fails all", 6, 1, 1, 1, 1},
    {"one fails half", 6, 1, 0.5, 1, 1},
    {"one fails a quarter", 6, 1, 0.25, 1, 1},
    {"one failure in a hundred is no outlier", 6, 1, 0.01, 0, 0},
    {"more fail than may be ejected", 6, 4, 1, 3, 3},
    {"one of two fails", 2, 1, 1, 1, 1},
    {"the only member fails", 1, 1, 1, 0, 0},
    {"all fail half: not an outlier", 6, 6, 0.5, 0, 1},
};

// Guards against failing upstreams that keep their traffic, and against ejections when the whole group fails.
BOOST_DATA_TEST_CASE(ejects_outliers, outlier_rows, row) {
    outlier_ejector subject;
    subject.set_members(members(row.group));
    std::mt19937_64 rng(1);
    std::bernoulli_distribution fails(row.failure_rate);
    for (int round = 0; round < 60; ++round) {
        const absl::Time now = start + absl::Milliseconds(10 * round);
        for (int id = 0; id < row.group; ++id) {
            const bool is_failure = id < row.failing && fails(rng);
            subject.on_result(std::to_string(id), is_failure ? health_signal::failure : health_signal::success, now);
        }
    }
    BOOST_TEST(subject.ejected_count() >= row.min_ejected);
    BOOST_TEST(subject.ejected_count() <= row.max_ejected);
}

void fail(outlier_ejector& subject, const std::string& id, int times, absl::Time now) {
    for (int time = 0; time < times; ++time) {
        subject.on_result(id, health_signal::failure, now);
    }
}

// Guards against reinstating without probes, concurrent probes, and non-idempotent requests as probes.
BOOST_AUTO_TEST_CASE(probes_before_reinstating) {
    outlier_ejector subject;
    subject.set_members(members(4));
    fail(subject, "0", 5, start);
    absl::Time now = start + absl::Milliseconds(999);
    BOOST_TEST((subject.state("0", true, now) == availability::ejected));
    now = start + absl::Seconds(1);
    BOOST_TEST((subject.state("0", false, now) == availability::ejected));
    for (int probe = 0; probe < 5; ++probe) {
        BOOST_TEST((subject.state("0", true, now) == availability::probe));
        subject.on_probe_started("0", now);
        BOOST_TEST((subject.state("0", true, now) == availability::ejected));
        BOOST_TEST(subject.on_result("0", health_signal::success, now) == (probe == 4));
    }
    BOOST_TEST((subject.state("0", false, now) == availability::active));
}

BOOST_AUTO_TEST_CASE(lost_probe_does_not_block_later_probes) {
    outlier_ejector subject;
    subject.set_members(members(4));
    fail(subject, "0", 5, start);
    subject.on_probe_started("0", start + absl::Seconds(1));
    BOOST_TEST((subject.state("0", true, start + absl::Seconds(10)) == availability::ejected));
    BOOST_TEST((subject.state("0", true, start + absl::Seconds(11)) == availability::probe));
}

// Guards against frequent probes of a dead upstream, and against ejections that never end.
BOOST_AUTO_TEST_CASE(ejection_time_grows_to_a_limit) {
    outlier_ejector subject;
    subject.set_members(members(4));
    fail(subject, "0", 5, start);
    absl::Time now = start;
    for (const int expected : {1, 2, 4, 8, 16, 30, 30, 30}) {
        BOOST_TEST(
            (subject.state("0", true, now + absl::Seconds(expected) - absl::Milliseconds(1)) == availability::ejected));
        now += absl::Seconds(expected);
        BOOST_TEST((subject.state("0", true, now) == availability::probe));
        subject.on_probe_started("0", now);
        subject.on_result("0", health_signal::failure, now);
    }
}

/// Runs an ejector with random results and group changes, where each member in turn looks like an outlier.
/// @return the smallest share of the group that was active at any time.
double min_active_share(outlier_ejector subject, std::uint64_t seed) {
    std::mt19937_64 rng(seed);
    const auto draw = [&](int high) { return std::uniform_int_distribution<int>(0, high)(rng); };
    absl::Time now = start;
    int group = 6;
    subject.set_members(members(group));
    double least = 1;
    for (int step = 0; step < 100'000; ++step) {
        now += absl::Milliseconds(draw(20));
        const std::string id = std::to_string(draw(group - 1));
        if (draw(999) == 0) {
            group = 1 + draw(7);
            subject.set_members(members(group));
        } else if (draw(999) == 0) {
            subject.reset(id);
        } else {
            subject.on_probe_started(id, now);
            // One member at a time gets only failures.
            const bool fails = std::to_string((step / 200) % group) == id;
            subject.on_result(id, fails ? health_signal::failure : health_signal::success, now);
        }
        int active = 0;
        for (const std::string& member : members(group)) {
            active += subject.state(member, true, now) == availability::active ? 1 : 0;
        }
        least = std::min(least, static_cast<double>(active) / group);
    }
    return least;
}

constexpr std::uint64_t seeds[] = {1, 2, 3};

// Guards against false positives that eject a whole group.
BOOST_DATA_TEST_CASE(at_least_half_stays_active, boost::unit_test::data::make(seeds), seed) {
    BOOST_TEST_MESSAGE("seed " << seed);
    const double least = min_active_share(outlier_ejector(), seed);
    BOOST_TEST(least >= 0.5);
    BOOST_TEST(least < 1.0); // There were ejections.
}

// Shows that the check above detects an ejector without a limit.
BOOST_AUTO_TEST_CASE(the_check_detects_an_unbounded_ejector) {
    BOOST_TEST(min_active_share(outlier_ejector({.max_ejected_share = 1}), 1) < 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
