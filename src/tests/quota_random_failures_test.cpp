#include "quota/quota_node.h"

#include "tests/fakes/quota_fleet.h"
#include "tests/test_seed.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

/// A suite of its own, apart from quota_fleet_test, since TEST_SEED chooses the failures as well.
BOOST_AUTO_TEST_SUITE(quota_random_failures_test)

using namespace amaranthladder;

// Guards against combinations of failures that no single row covers. The worst seeds are those that cut off, kill or
// pause the coordinator of a tenant over its quota.
BOOST_DATA_TEST_CASE(keeps_the_bound_under_random_failures, boost::unit_test::data::xrange(4)) {
    std::mt19937_64 random(test_seed() + static_cast<unsigned>(sample));
    const auto chance = [&random](double share) { return std::uniform_real_distribution<>(0, 1)(random) < share; };
    const auto below = [&random](double limit) { return std::uniform_real_distribution<>(0, limit)(random); };
    quota_fleet::options options = with(below(0.05), below(0.05), below(0.15));
    options.seed = random();
    quota_fleet fleet(options);
    fleet.set_demand(random() % 10, 7);
    fleet.set_demand(0, 7);
    fleet.run_for(absl::Seconds(5));
    std::string played;
    for (int event = 0; event < 10; ++event) {
        const std::size_t victim = chance(0.5) ? fleet.coordinator(0) : random() % 89;
        switch (random() % 5) {
        case 0: {
            std::vector<std::size_t> group = range(0, 89);
            std::ranges::shuffle(group, random);
            group.resize(1 + (random() % 60));
            const bool is_one_way = chance(0.3);
            fleet.cut(group, is_one_way);
            played += fmt::format(" cut({}{})", group.size(), is_one_way ? ", one way" : "");
            break;
        }
        case 1:
            fleet.heal();
            played += " heal";
            break;
        case 2:
            fleet.kill(victim);
            fleet.run_for(absl::Seconds(below(3)));
            fleet.start(victim);
            played += " restart";
            break;
        case 3:
            fleet.pause(victim, absl::Seconds(below(6)));
            played += " pause";
            break;
        default:
            fleet.set_demand(random() % 20, chance(0.5) ? 7 : 1);
            played += " demand";
            break;
        }
        fleet.run_for(absl::Seconds(below(6)));
    }
    fleet.run_for(absl::Seconds(3));
    BOOST_TEST_MESSAGE(
        fmt::format("random failures{}: worst window {:.3f} of the bound", played, fleet.worst_window()));
    BOOST_TEST(fleet.worst_window() <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
