#include "routing/completion_estimate.h"

#include <boost/test/unit_test.hpp>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(completion_estimate_test)

const completion_inputs usual{.route_time = absl::Milliseconds(42),
                              .service_time = absl::Milliseconds(60),
                              .slots = 12,
                              .load = 0.5,
                              .link_utilisation = 0.3,
                              .link_mbps = 13,
                              .bytes = 2'500};

/// @return expected time and spread, by which upstreams are compared.
absl::Duration cost(const completion_inputs& inputs) {
    const completion_estimate estimate = estimate_completion(inputs, {});
    return estimate.total() + estimate.spread;
}

template <typename Change> completion_inputs changed(const Change& change) {
    completion_inputs inputs = usual;
    change(inputs);
    return inputs;
}

// Guards against a cost that is flat until the slots or the link are full: one of two timetable upstreams on S got four
// of five requests until its link was full.
BOOST_AUTO_TEST_CASE(rises_before_slots_and_link_are_full) {
    absl::Duration last = cost(changed([](auto& inputs) { inputs.load = 0; }));
    absl::Duration last_step;
    for (const double load : {0.2, 0.4, 0.6, 0.8, 0.95, 1.1}) {
        const absl::Duration next = cost(changed([load](auto& inputs) { inputs.load = load; }));
        BOOST_TEST(absl::ToDoubleMilliseconds(next - last) > absl::ToDoubleMilliseconds(last_step));
        last_step = next - last;
        last = next;
    }
    const auto transfer = [](double utilisation) {
        return absl::ToDoubleMilliseconds(
            estimate_completion(changed([&](auto& inputs) { inputs.link_utilisation = utilisation; }), {}).transfer);
    };
    BOOST_TEST(transfer(0) < 2);
    BOOST_TEST(transfer(0.7) > 20);
    BOOST_TEST(transfer(0.95) > 200);
    BOOST_TEST(transfer(5) == transfer(0.95)); // A wrong figure does not exclude an upstream.
}

// Guards against an infinite or negative cost for figures that reports may contain.
BOOST_AUTO_TEST_CASE(is_finite) {
    BOOST_CHECK(cost(changed([](auto& inputs) { inputs.load = 10; })) < absl::Seconds(30));
    BOOST_CHECK(cost(changed([](auto& inputs) { inputs.load = -1; })) > absl::ZeroDuration());
    BOOST_CHECK(cost(changed([](auto& inputs) { inputs.link_utilisation = -1; })) > absl::ZeroDuration());
    BOOST_TEST(absl::ToDoubleMilliseconds(
                   estimate_completion(changed([](auto& inputs) { inputs.link_mbps = 0; }), {}).transfer) == 0);
}

// Guards against a speed that changes only the work and not the wait for the work of others.
BOOST_AUTO_TEST_CASE(a_slow_host_is_slow_in_all_parts) {
    const auto with_factor = [](double factor) {
        return estimate_completion(changed([factor](auto& inputs) {
                                       inputs.load = 1.5;
                                       inputs.work_factor = factor;
                                   }),
                                   {});
    };
    BOOST_CHECK(with_factor(2.5).work == with_factor(1).work * 2.5);
    BOOST_TEST(absl::FDivDuration(with_factor(2.5).queue, with_factor(1).queue) == 2.5,
               boost::test_tools::tolerance(0.001));
}

// Guards against spreading that counts as expected time: a request would leave its data centre although the local one
// answers in time.
BOOST_AUTO_TEST_CASE(spread_is_not_expected_time) {
    const completion_estimate busy = estimate_completion(changed([](auto& inputs) { inputs.load = 0.9; }), {});
    BOOST_CHECK(busy.spread > absl::Milliseconds(100));
    BOOST_CHECK(busy.total() < absl::Milliseconds(90));
}

BOOST_AUTO_TEST_SUITE_END()
