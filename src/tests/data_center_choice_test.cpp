#include "routing/data_center_choice.h"

#include "../bench/data_center_model.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <numbers>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(data_center_choice_test)

double leave_probability(double home_ms, double elsewhere_ms, double target_ms = 600, double bytes = 2'500,
                         absl::Duration age = absl::ZeroDuration()) {
    return data_center_choice().leave_probability({.at_home = absl::Milliseconds(home_ms),
                                                   .elsewhere = absl::Milliseconds(elsewhere_ms),
                                                   .time_to_target = absl::Milliseconds(target_ms),
                                                   .time_to_deadline = absl::Seconds(3),
                                                   .bytes = bytes,
                                                   .elsewhere_age = age});
}

// Guards against a decision that does not pay, and against one that all entries take at once.
BOOST_AUTO_TEST_CASE(rises_with_the_shortage) {
    BOOST_TEST(leave_probability(300, 100) == 0); // Home is in time.
    double last = 0;
    for (const double home_ms : {340, 380, 420, 460}) {
        const double probability = leave_probability(home_ms, 100);
        BOOST_TEST(probability > last);
        last = probability;
    }
    BOOST_TEST(last < 1);
    BOOST_TEST(leave_probability(600, 100) == 1);
    BOOST_TEST(leave_probability(600, 590) == 0);   // Elsewhere is as bad.
    BOOST_TEST(leave_probability(1500, 700) == 0);  // The target is missed in any case, the deadline is not.
    BOOST_TEST(leave_probability(2900, 700) > 0.5); // The deadline is missed too.
}

// Guards against bytes between data centres for a small gain.
BOOST_AUTO_TEST_CASE(weighs_the_bytes) {
    BOOST_TEST(leave_probability(500, 150, 600, 60'000) > 0);
    BOOST_TEST(leave_probability(500, 150, 600, 360'000) == 0);
    BOOST_TEST(leave_probability(900, 150, 600, 360'000) > 0);
}

// Guards against a rush to a data centre of which an old report says that it is idle, and against never hearing of it
// again.
BOOST_AUTO_TEST_CASE(trusts_a_stale_report_less) {
    const double fresh = leave_probability(600, 100);
    const double stale = leave_probability(600, 100, 600, 2'500, absl::Seconds(1));
    const double unknown = leave_probability(600, 100, 600, 2'500, absl::InfiniteDuration());
    BOOST_TEST(stale < 0.5 * fresh);
    BOOST_TEST(unknown < stale);
    BOOST_TEST(unknown >= 0.2 * fresh);
}

// Guards against an undefined result without a target or a deadline, or with those that have passed.
BOOST_AUTO_TEST_CASE(works_without_limits) {
    const data_center_choice choice;
    const absl::Duration infinite = absl::InfiniteDuration();
    const auto without_target = [&](double home_ms) {
        return choice.leave_probability({.at_home = absl::Milliseconds(home_ms),
                                         .elsewhere = absl::Milliseconds(100),
                                         .time_to_target = infinite,
                                         .time_to_deadline = infinite});
    };
    BOOST_TEST(without_target(100) == 0);
    BOOST_TEST(without_target(250) > 0.5);
    BOOST_TEST(leave_probability(600, 100, 0) == 0);
    BOOST_TEST(leave_probability(2900, 100, -100) > 0.5);
}

std::function<double(int, absl::Duration)> constant_load(double load) {
    return [load](int, absl::Duration) { return load; };
}

/// The load of S: it varies by 0.55 with a period of 17 s, and the data centres are out of phase.
std::function<double(int, absl::Duration)> waves(double mean) {
    return [mean](int data_center, absl::Duration since) {
        const double phase = absl::ToDoubleSeconds(since) / 17 + data_center / 3.0;
        return mean * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
    };
}

data_center_outcome run(data_center_scenario scenario, bool uses_fixed_fraction = false) {
    scenario.uses_fixed_fraction = uses_fixed_fraction;
    const data_center_outcome outcome = run_data_centers(scenario);
    BOOST_TEST_MESSAGE("seed 1, in time " << outcome.in_time << " left " << outcome.left << " megabytes "
                                          << outcome.megabytes << " exchanged " << outcome.exchanged);
    return outcome;
}

// Guards against late responses when data centres fill and empty in turn, and against requests that pass each other
// between two data centres.
BOOST_DATA_TEST_CASE(follows_waves_without_oscillation, boost::unit_test::data::make({0.75, 0.85, 0.95}), mean) {
    const data_center_outcome outcome = run({.load = waves(mean)});
    const data_center_outcome former = run({.load = waves(mean)}, true);
    BOOST_TEST(outcome.in_time > 0.999);
    BOOST_TEST(outcome.megabytes < former.megabytes);
    BOOST_TEST(outcome.exchanged < 0.15);
    BOOST_TEST(outcome.exchanged <= former.exchanged);
}

// Guards against requests that leave although home has room: none may, also with a target that is hard to meet, where
// the former rule sent 5% away.
BOOST_DATA_TEST_CASE(stays_where_home_has_room, boost::unit_test::data::make({0.5, 0.85}), load) {
    for (const int target_ms : {250, 600}) {
        const data_center_scenario scenario{.load = constant_load(load), .target = absl::Milliseconds(target_ms)};
        const data_center_outcome outcome = run(scenario);
        const data_center_outcome former = run(scenario, true);
        BOOST_TEST(outcome.left < 0.001);
        BOOST_TEST(outcome.left <= former.left);
        BOOST_TEST(outcome.in_time > former.in_time - 0.005);
    }
}

// Guards against needless traffic when no data centre has room: the former rule sent every second request away.
BOOST_AUTO_TEST_CASE(stays_where_all_are_short) {
    const data_center_outcome outcome = run({.load = constant_load(1.2)});
    const data_center_outcome former = run({.load = constant_load(1.2)}, true);
    BOOST_TEST(outcome.left < 0.1);
    BOOST_TEST(outcome.left < former.left);
    BOOST_TEST(outcome.in_time > former.in_time - 0.01);
}

constexpr absl::Duration loss_start = absl::Seconds(10);
constexpr absl::Duration loss_end = absl::Seconds(20);

/// Data centre 0 has this share of its upstreams for ten seconds.
data_center_scenario loss(double remaining, double load, double bytes) {
    return {.load = constant_load(load),
            .serving_share =
                [remaining](absl::Duration since) { return since >= loss_start && since < loss_end ? remaining : 1.0; },
            .request_bytes = bytes};
}

data_center_outcome run_between(data_center_scenario scenario, absl::Duration from, absl::Duration until) {
    scenario.measured_from = from;
    scenario.measured_until = until;
    return run(scenario);
}

// Guards against late responses after the loss of half of the upstreams of a data centre, against more traffic than the
// shortage needs (0.2 of the capacity is missing, a tenth of all requests), and against traffic that goes on after it.
BOOST_AUTO_TEST_CASE(half_of_the_upstreams_are_lost) {
    const data_center_outcome small = run_between(loss(0.5, 0.7, 2'500), loss_start, loss_end);
    BOOST_TEST(small.in_time > 0.99);
    BOOST_TEST(small.left > 0.05);
    BOOST_TEST(small.left < 0.12);
    const data_center_outcome large = run_between(loss(0.5, 0.7, 300'000), loss_start, loss_end);
    BOOST_TEST(large.in_time > 0.9);
    BOOST_TEST(large.left < small.left);
    BOOST_TEST(run_between(loss(0.5, 0.7, 2'500), loss_end + absl::Seconds(1), absl::InfiniteDuration()).left == 0);
}

// Guards against requests of an evacuated data centre that are late or lost, and against traffic that goes on when its
// upstreams are back.
BOOST_AUTO_TEST_CASE(a_data_center_is_evacuated) {
    const data_center_outcome evacuated = run_between(loss(0, 0.6, 2'500), loss_start, loss_end);
    BOOST_TEST(evacuated.in_time > 0.99);
    BOOST_TEST(std::abs(evacuated.left - 1.0 / 3) < 0.03);
    BOOST_TEST(run_between(loss(0, 0.6, 2'500), loss_end + absl::Seconds(1), absl::InfiniteDuration()).left == 0);
}

BOOST_AUTO_TEST_SUITE_END()
