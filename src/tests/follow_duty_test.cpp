#include "daemon/follow_duty.h"

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

BOOST_AUTO_TEST_SUITE(follow_duty_test)

namespace {

constexpr absl::Duration configuration_time = absl::Milliseconds(2500);
constexpr double store_reads_per_second = 6000;
const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

std::vector<member> make_members(int count, int data_centers) {
    std::vector<member> members;
    for (int number = 0; number < count; ++number) {
        member one;
        one.address = {"10.1.0." + std::to_string(number + 1), 7360};
        one.data_center = "dc" + std::to_string(number % data_centers);
        members.push_back(one);
    }
    return members;
}

follow_duty make_duty(const member& self, const std::vector<member>& alive) {
    follow_duty duty(self.address, self.data_center, store_reads_per_second, configuration_time);
    duty.set_members(alive);
    return duty;
}

/// @return the daemons that follow the store, by data centre, while all are in contact.
std::map<std::string, int> count_followers(const std::vector<member>& alive) {
    std::map<std::string, int> followers;
    for (const member& self : alive) {
        const follow_reason reason = make_duty(self, alive).reason(absl::ZeroDuration(), start);
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

// Guards against a store that is called by every daemon for every change, and a data centre that nobody follows for.
// Pattern: a storm of twenty changes at ninety daemons cost 1,237 watch calls (limonada-litoral-grown quiet-1).
BOOST_DATA_TEST_CASE(few_daemons_follow_for_a_large_fleet, fleet_rows, row) {
    for (const auto& [data_center, followers] : count_followers(make_members(row.daemons, row.data_centers))) {
        BOOST_TEST(followers == row.followers_per_data_center, data_center << ": " << followers);
    }
}

// Guards against a data centre without a follower after one has died.
BOOST_AUTO_TEST_CASE(another_daemon_takes_the_place_of_a_dead_follower) {
    std::vector<member> alive = make_members(90, 5);
    const auto is_first_follower = [&](const member& one) {
        return one.data_center == "dc0" && make_duty(one, alive).followers().empty();
    };
    alive.erase(std::ranges::find_if(alive, is_first_follower));
    BOOST_TEST(count_followers(alive).at("dc0") == 2);
}

// Guards against a fleet in which nobody sees a change at once. Followers of a large fleet stand anywhere in the order
// by which a small one chooses the daemons that never rest.
BOOST_AUTO_TEST_CASE(some_daemon_sees_each_change_at_once) {
    constexpr int late_turn = 40;
    const std::vector<member> large = make_members(90, 5);
    for (const member& one : large) {
        const follow_duty duty = make_duty(one, large);
        BOOST_TEST(duty.may_rest(late_turn) == !duty.followers().empty());
    }
    const std::vector<member> small = make_members(10, 2);
    BOOST_TEST(!make_duty(small.front(), small).may_rest(2));
    BOOST_TEST(make_duty(small.back(), small).may_rest(3));
}

// Guards against a configuration that is missed: by a daemon that reaches the store and none of its followers, and by
// one whose peers hold a version that it cannot pull from them.
BOOST_AUTO_TEST_CASE(reads_the_store_when_peers_do_not_help) {
    const std::vector<member> alive = make_members(90, 5);
    const auto other =
        std::ranges::find_if(alive, [&](const member& one) { return !make_duty(one, alive).followers().empty(); });
    follow_duty duty = make_duty(*other, alive);
    BOOST_TEST((duty.reason(absl::InfiniteDuration(), start) == follow_reason::no_contact));
    BOOST_TEST((duty.reason(absl::Milliseconds(1000), start) == follow_reason::others_follow));
    BOOST_TEST((duty.reason(absl::Milliseconds(1200), start) == follow_reason::no_contact));
    duty.note_versions(7, 8, start);
    BOOST_TEST((duty.reason(absl::ZeroDuration(), start + absl::Milliseconds(400)) == follow_reason::others_follow));
    BOOST_TEST((duty.reason(absl::ZeroDuration(), start + absl::Milliseconds(600)) == follow_reason::behind));
    duty.note_versions(8, 8, start + absl::Milliseconds(600));
    BOOST_TEST((duty.reason(absl::ZeroDuration(), start + absl::Milliseconds(700)) == follow_reason::others_follow));
}

// Guards against daemons that read the store though their followers are well, and against ones that do not notice in
// time that these are gone. Real messages between forty daemons; a hundredth of the datagrams is lost.
BOOST_AUTO_TEST_CASE(contact_is_kept_and_its_loss_is_noticed) {
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
    const absl::Duration limit = configuration_time * follow_duty_policy().contact_share;
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
    // One in a thousand: each costs one call of the store.
    BOOST_TEST(silent <= samples * static_cast<int>(daemons - followers) / 1000, "silent: " << silent);
    for (std::size_t number = 0; number < followers; ++number) {
        network.kill(number);
    }
    network.run_for(limit + absl::Milliseconds(50));
    BOOST_TEST(count_silent() == static_cast<int>(daemons - followers));
}

BOOST_AUTO_TEST_SUITE_END()
