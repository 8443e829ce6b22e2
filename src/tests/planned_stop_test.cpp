#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <boost/test/unit_test.hpp>

#include <sys/wait.h>

#include <string>
#include <thread>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(planned_stop_test)

// Guards against a planned stop that cuts requests at which an upstream is at work although the platform lets the
// daemon run for longer (review case 2). The request needs longer than the 5.2 s after which a daemon of a platform
// with a grace period of 6 s must give up.
BOOST_AUTO_TEST_CASE(requests_may_take_as_long_as_the_platform_waits) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1, "grace_s=9,drain_ms=3000,config_ms=3000");
    BOOST_REQUIRE(host.start_upstream());
    host.set_upstream_delay(absl::Milliseconds(6500));
    int status = 0;
    std::thread caller([&] {
        const auto answer = host.client().Get("/reads/slow");
        status = answer ? answer->status : 0;
    });
    host.upstream.wait_for_running_request();
    host.terminate();
    caller.join();
    BOOST_TEST(status == 200, "status " << status << "\n" << host.log());
    const int ended = host.wait_for_end(absl::Seconds(2));
    BOOST_TEST(WIFEXITED(ended));
    BOOST_TEST(WEXITSTATUS(ended) == 0);
}

// Guards against a daemon that is killed at the end of the grace period, since it waits for a request that takes
// longer: the other daemons would not be told that it leaves.
BOOST_AUTO_TEST_CASE(ends_before_the_platform_kills) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1, "grace_s=4,drain_ms=2000,config_ms=2000");
    BOOST_REQUIRE(host.start_upstream());
    host.set_upstream_delay(absl::Seconds(10));
    std::thread caller([&] { host.client().Get("/reads/slow"); });
    host.upstream.wait_for_running_request();
    host.terminate();
    const int ended = host.wait_for_end(absl::Seconds(4));
    BOOST_TEST(ended != -1, "still runs\n" << host.log());
    caller.join();
}

BOOST_AUTO_TEST_SUITE_END()
