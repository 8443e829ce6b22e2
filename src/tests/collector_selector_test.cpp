#include "daemon/collector_selector.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(collector_selector_test)

namespace {

std::vector<member> make_members(int count) {
    std::vector<member> members;
    for (int number = 0; number < count; ++number) {
        member added;
        added.address = {"10.0.0." + std::to_string(number), 7000};
        added.state = member_state::alive;
        members.push_back(added);
    }
    return members;
}

} // namespace

// Guards against daemons that send call counts to different collectors, none of which then sees enough of them.
BOOST_AUTO_TEST_CASE(all_daemons_select_the_same) {
    std::vector<member> members = make_members(95);
    const std::vector<endpoint> selected = select_collectors(members);
    BOOST_TEST(selected.size() == collector_count);
    std::ranges::reverse(members);
    BOOST_TEST((select_collectors(members) == selected));
}

// Guards against a move without a decider after one collector has died, and against a change of all of them at once.
BOOST_AUTO_TEST_CASE(loss_of_one_replaces_only_that_one) {
    std::vector<member> members = make_members(95);
    const std::vector<endpoint> before = select_collectors(members);
    std::erase_if(members, [&](const member& peer) { return peer.address == before.front(); });
    const std::vector<endpoint> after = select_collectors(members);
    BOOST_TEST(after.size() == collector_count);
    const std::set<endpoint> kept(after.begin(), after.end());
    BOOST_TEST(kept.contains(before[1]));
    BOOST_TEST(kept.contains(before[2]));
}

// Guards against no collector in a mesh that is smaller than their number.
BOOST_AUTO_TEST_CASE(small_mesh_selects_all) {
    BOOST_TEST(select_collectors(make_members(2)).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
