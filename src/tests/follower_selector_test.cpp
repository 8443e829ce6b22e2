#include "daemon/follower_selector.h"

#include "tests/fakes/peer_network.h"
#include "tests/fakes/peer_scenario.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

using namespace amaranthladder;
using namespace amaranthladder::fakes;

BOOST_AUTO_TEST_SUITE(follower_selector_test)

namespace {

constexpr absl::Duration max_convergence_time = absl::Milliseconds(2500);
constexpr double store_reads_per_second = 6000;
const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

std::vector<member> make_members(int count, int data_centers) {
    std::vector<member> members;
    for (int number = 0; number < count; ++number) {
        member added;
        added.address = {"10.1.0." + std::to_string(number + 1), 7360};
        added.data_center = "dc" + std::to_string(number % data_centers);
        members.push_back(added);
    }
    return members;
}

follower_selector make_selector(const member& self, const std::vector<member>& alive) {
    follower_selector selector(self.address, self.data_center, store_reads_per_second, max_convergence_time);
    selector.update_members(alive);
    return selector;
}

/// @return the number of daemons that follow the store, by data centre, while all have contact.
std::map<std::string, int> count_followers(const std::vector<member>& alive) {
    std::map<std::string, int> followers;
    for (const member& self : alive) {
        const follow_reason reason = make_selector(self, alive).reason(absl::ZeroDuration(), start);
        followers[self.data_center] += reason == follow_reason::others_follow ? 0 : 1;
    }
    return followers;
}

} // namespace

struct fleet_row {
    const char* name;
    int daemons;
    int data_centers;
    int followers_per_data_center;

    friend std::ostream& operator<<(std::ostream& out, const fleet_row& row) {
        return out << row.name;
    }
};

const fleet_row fleet_rows[] = {
    {"small fleet: all", 12, 3, 4},
    {"ninety daemons", 90, 5, 2},
    {"250 daemons", 250, 2, 2},
    {"one data centre", 100, 1, 2},
};

// Guards against store calls of every daemon for every change, and against a data centre without a follower. Twenty
// changes in quick succession with ninety daemons caused 1,237 watch calls (limonada-litoral-grown quiet-1).
BOOST_DATA_TEST_CASE(large_fleet_has_few_followers, fleet_rows, row) {
    for (const auto& [data_center, followers] : count_followers(make_members(row.daemons, row.data_centers))) {
        BOOST_TEST(followers == row.followers_per_data_center, data_center << ": " << followers);
    }
}

// Guards against a store with a high rate that makes each of 95 daemons read each change: store calls were the dearest
// price of kufenbach-mesh-large.
BOOST_AUTO_TEST_CASE(fast_store_is_not_read_by_all) {
    constexpr double fast_store_reads_per_second = 16'000;
    const std::vector<member> alive = make_members(95, 6);
    const auto following = std::ranges::count_if(alive, [&](const member& self) {
        follower_selector selector(self.address, self.data_center, fast_store_reads_per_second, max_convergence_time);
        selector.update_members(alive);
        return selector.followers().empty();
    });
    BOOST_TEST(following == 12);
}

// Guards against a data centre with too few followers after one has died.
BOOST_AUTO_TEST_CASE(dead_follower_is_replaced) {
    std::vector<member> alive = make_members(90, 5);
    const auto is_first_follower = [&](const member& candidate) {
        return candidate.data_center == "dc0" && make_selector(candidate, alive).followers().empty();
    };
    alive.erase(std::ranges::find_if(alive, is_first_follower));
    BOOST_TEST(count_followers(alive).at("dc0") == 2);
}

// Guards against a fleet in which every daemon delays its watch. The rank decides only in a small fleet; the followers
// of a large fleet may have any rank.
BOOST_AUTO_TEST_CASE(some_daemons_never_delay_their_watch) {
    constexpr int high_rank = 40;
    const std::vector<member> large = make_members(90, 5);
    for (const member& self : large) {
        const follower_selector selector = make_selector(self, large);
        BOOST_TEST(selector.may_delay_watch(high_rank) == !selector.followers().empty());
    }
    const std::vector<member> small = make_members(10, 2);
    BOOST_TEST(!make_selector(small.front(), small).may_delay_watch(2));
    BOOST_TEST(make_selector(small.back(), small).may_delay_watch(3));
}

// Guards against a missed configuration: on a daemon that reaches the store but none of its followers, and on one that
// cannot pull a newer version from its peers.
BOOST_AUTO_TEST_CASE(follows_store_without_help_of_peers) {
    const std::vector<member> alive = make_members(90, 5);
    const auto other = std::ranges::find_if(
        alive, [&](const member& candidate) { return !make_selector(candidate, alive).followers().empty(); });
    follower_selector selector = make_selector(*other, alive);
    BOOST_TEST((selector.reason(absl::InfiniteDuration(), start) == follow_reason::no_contact));
    BOOST_TEST((selector.reason(absl::Milliseconds(1000), start) == follow_reason::others_follow));
    BOOST_TEST((selector.reason(absl::Milliseconds(1200), start) == follow_reason::no_contact));
    selector.record_versions(7, 8, start);
    BOOST_TEST(
        (selector.reason(absl::ZeroDuration(), start + absl::Milliseconds(400)) == follow_reason::others_follow));
    BOOST_TEST((selector.reason(absl::ZeroDuration(), start + absl::Milliseconds(600)) == follow_reason::behind));
    selector.record_versions(8, 8, start + absl::Milliseconds(600));
    BOOST_TEST(
        (selector.reason(absl::ZeroDuration(), start + absl::Milliseconds(700)) == follow_reason::others_follow));
}

// Guards against daemons that read the store although their followers are alive, and against daemons that do not detect
// the loss of all followers in time. Simulates forty daemons with a datagram loss of one percent.
BOOST_AUTO_TEST_CASE(detects_lost_contact_with_followers) {
    peer_settings settings;
    settings.probe_interval = absl::Milliseconds(300);
    settings.probe_timeout = absl::Milliseconds(150);
    constexpr std::size_t daemons = 40;
    constexpr std::size_t followers = 2;
    peer_network network(daemons, settings, scenario_seed());
    network.faults.loss = 0.01;
    for (std::size_t number = 0; number < daemons; ++number) {
        network.start(number);
    }
    network.run_for(absl::Seconds(20));
    std::vector<endpoint> addresses;
    for (std::size_t number = 0; number < followers; ++number) {
        network.node(number).set_follows_store(true);
        addresses.push_back(network.node(number).self().address);
    }
    for (std::size_t number = followers; number < daemons; ++number) {
        network.node(number).set_store_followers(addresses);
    }
    network.run_for(absl::Seconds(2));
    const absl::Duration limit = max_convergence_time * follower_selector_policy().contact_timeout_fraction;
    const auto count_silent = [&] {
        int silent = 0;
        for (std::size_t number = followers; number < daemons; ++number) {
            silent += network.now() - network.node(number).last_follower_contact() > limit ? 1 : 0;
        }
        return silent;
    };
    int silent = 0;
    constexpr int samples = 200;
    for (int sample = 0; sample < samples; ++sample) {
        network.run_for(absl::Milliseconds(100));
        silent += count_silent();
    }
    // At most one false detection in a thousand samples; each costs one store call.
    BOOST_TEST(silent <= samples * static_cast<int>(daemons - followers) / 1000, "silent: " << silent);
    for (std::size_t number = 0; number < followers; ++number) {
        network.kill(number);
    }
    network.run_for(limit + absl::Milliseconds(50));
    BOOST_TEST(count_silent() == static_cast<int>(daemons - followers));
}

BOOST_AUTO_TEST_SUITE_END()
