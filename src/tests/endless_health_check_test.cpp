#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <absl/time/clock.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(endless_health_check_test)

namespace {

/// A daemon without requests needs 11 MB.
constexpr long max_resident_kib = 48L * 1024;
constexpr absl::Duration poll_interval = absl::Milliseconds(10);
constexpr absl::Duration watched_time = absl::Seconds(3);
constexpr absl::Duration registration_limit = absl::Seconds(10);

/// Waits until the daemon has saved its upstream in the store.
bool wait_for_registration(const platform_store& store, const platform_host& host) {
    const std::string key = "mesh/daemons/" + to_string(host.peer_address());
    const absl::Time until = absl::Now() + registration_limit;
    while (store.writes_of(key) == 0 && absl::Now() < until) {
        absl::SleepFor(poll_interval);
    }
    return store.writes_of(key) > 0;
}

} // namespace

const endless_kind health_kinds[] = {endless_kind::head_line, endless_kind::head_flood, endless_kind::head_drip,
                                     endless_kind::interim, endless_kind::chunk_flood};

// Guards against a daemon that, after a restart beside an upstream whose health check has no end, grows until it is
// killed, or never reaches the store again (review case 1).
BOOST_DATA_TEST_CASE(restart_beside_endless_health_check, health_kinds, kind) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    BOOST_REQUIRE(host.start_upstream());
    BOOST_REQUIRE(wait_for_registration(store, host));
    host.kill();
    host.set_upstream_endless(kind);
    host.start();
    long highest_kib = 0;
    const absl::Time until = absl::Now() + watched_time;
    while (absl::Now() < until && highest_kib <= max_resident_kib) {
        highest_kib = std::max(highest_kib, host.resident_kib());
        absl::SleepFor(poll_interval);
    }
    BOOST_TEST(highest_kib < max_resident_kib);
    BOOST_TEST(host.is_running());
    // The thread that makes the check also renews the registration and writes reports.
    BOOST_TEST(host.wait_for_log("is_used=false", absl::ZeroDuration()), host.log());
    host.set_upstream_delay(absl::ZeroDuration());
    BOOST_TEST(host.announce(2) == 200);
    BOOST_TEST(host.wait_for_status("/reads/x", 200, absl::Seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
