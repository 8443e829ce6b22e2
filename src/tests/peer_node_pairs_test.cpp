#include "tests/fakes/peer_network.h"
#include "tests/fakes/peer_scenario.h"

#include <boost/test/unit_test.hpp>

#include <iterator>

using namespace amaranthladder;
using namespace amaranthladder::fakes;

BOOST_AUTO_TEST_SUITE(peer_node_pairs_test)

// Guards against daemons that converge after each single fault but not after two simultaneous ones.
BOOST_AUTO_TEST_CASE(converges_after_any_two_faults) {
    std::uint64_t events = 0;
    for (auto first = std::next(std::begin(fault_rows)); first != std::end(fault_rows); ++first) {
        for (auto second = std::next(first); second != std::end(fault_rows); ++second) {
            peer_network network(10, peer_settings(), scenario_seed());
            const std::string problem = run_fault_scenario(network, first->kind, second->kind, absl::Seconds(40));
            BOOST_TEST_CONTEXT(first->name << " and " << second->name << ", seed " << scenario_seed()) {
                BOOST_TEST(problem == "");
            }
            events += network.events();
        }
    }
    BOOST_TEST_MESSAGE("seed " << scenario_seed() << ", " << events << " events");
}

BOOST_AUTO_TEST_SUITE_END()
