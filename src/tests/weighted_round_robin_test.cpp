#include "routing/weighted_round_robin.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(weighted_round_robin_test)

// Guards against deviations from the weights over short sequences, as with random choice.
BOOST_AUTO_TEST_CASE(every_prefix_matches_the_weights) {
    const std::map<std::string, int> weights{{"a", 90}, {"b", 7}, {"c", 3}, {"d", 0}};
    weighted_round_robin round_robin;
    std::map<std::string, int> picked;
    for (int count = 1; count <= 1000; ++count) {
        ++picked[round_robin.pick(weights)];
        for (const auto& [name, weight] : weights) {
            BOOST_TEST_REQUIRE(std::abs(picked[name] - count * weight / 100.0) <= 1.5);
        }
    }
    BOOST_TEST(picked["d"] == 0);
}

// Guards against compensating for past picks after a weight has changed.
BOOST_AUTO_TEST_CASE(follows_changed_weights) {
    weighted_round_robin round_robin;
    for (int count = 0; count < 10; ++count) {
        round_robin.pick({{"a", 1}, {"b", 1}});
    }
    int of_b = 0;
    for (int count = 0; count < 100; ++count) {
        of_b += round_robin.pick({{"a", 0}, {"b", 1}}) == "b" ? 1 : 0;
    }
    BOOST_TEST(of_b == 100);
}

BOOST_AUTO_TEST_SUITE_END()
