#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(upstream_conflict_test)

// Guards against a daemon that ends in a planned stop because its upstream's id is announced beside another daemon too.
BOOST_AUTO_TEST_CASE(id_announced_at_two_daemons_ends_neither) {
    platform_store store;
    put_test_configuration(store);
    platform_host first(store, 1);
    platform_host second(store, 2);
    BOOST_REQUIRE(first.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(second.wait_for_status("/elsewhere", 404));
    // At once, so that neither daemon has heard of the other announcement.
    std::thread other([&] { second.announce_as("i-both", 1); });
    first.announce_as("i-both", 1);
    other.join();
    absl::SleepFor(absl::Seconds(2));
    for (platform_host* host : {&first, &second}) {
        BOOST_TEST(host->is_running(), host->log());
        host->announce_as("i-both", 2);
    }
    for (platform_host* host : {&first, &second}) {
        host->terminate();
        const int status = host->wait_for_end(absl::Seconds(8));
        BOOST_TEST(status == 0, "ended with " << status << "\n" << host->log());
    }
}

BOOST_AUTO_TEST_SUITE_END()
