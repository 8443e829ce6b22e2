#include "routing/link_meter.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(link_meter_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

// Guards against a full link that is reported as free, and against one that stays full after the load has ended.
BOOST_AUTO_TEST_CASE(follows_the_load) {
    link_meter meter(10);
    std::uint64_t total = 0;
    absl::Time now = start;
    for (; now < start + absl::Seconds(1); now += absl::Milliseconds(10)) {
        total += 12'500; // 10 Mbit/s.
        meter.observe(total, now);
    }
    BOOST_TEST(std::abs(*meter.utilisation() - 1) < 0.06);
    meter.observe(total, now + absl::Milliseconds(150));
    BOOST_TEST(std::abs(*meter.utilisation() - 0.5) < 0.1);
    meter.observe(total, now + absl::Milliseconds(450));
    meter.observe(total, now + absl::Milliseconds(900));
    BOOST_TEST(*meter.utilisation() == 0);
}

// Guards against a utilisation of a link whose speed is not known, for which entries would avoid the host.
BOOST_AUTO_TEST_CASE(knows_nothing_of_a_link_of_unknown_speed) {
    link_meter meter(0);
    meter.observe(1'000'000, start);
    BOOST_TEST(!meter.utilisation());
}

// Guards against a single body right after the start that counts as a full link.
BOOST_AUTO_TEST_CASE(averages_over_the_window) {
    link_meter meter(10);
    BOOST_TEST(*meter.utilisation() == 0);
    meter.observe(0, start);
    meter.observe(60'000, start + absl::Milliseconds(1));
    BOOST_TEST(std::abs(*meter.utilisation() - 60'000 * 8 / 0.3 / 10e6) < 0.01);
}

BOOST_AUTO_TEST_SUITE_END()
