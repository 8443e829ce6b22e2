#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(load_report_test)

double metric(const platform_host& host, const std::string& name) {
    const auto answer = httplib::Client(host.control_address().address, host.control_address().port).Get("/metrics");
    if (!answer) {
        return -1;
    }
    const std::size_t at = answer->body.find("\namaranthladder_" + name + " ");
    return at == std::string::npos ? -1 : std::stod(answer->body.substr(at + name.size() + 17));
}

/// @return the largest number that follows @p key in a log; 0 without any.
double largest_in_log(const std::string& log, const std::string& key) {
    double largest = 0;
    for (std::size_t at = log.find(key); at != std::string::npos; at = log.find(key, at + 1)) {
        largest = std::max(largest, std::stod(log.substr(at + key.size(), 16)));
    }
    return largest;
}

// Guards against figures of an upstream or of a link that do not reach the entry that chooses: two hosts with real
// daemons, of which one has the upstream.
BOOST_AUTO_TEST_CASE(reports_reach_the_entry) {
    platform_store store;
    put_test_configuration(store);
    platform_host owner(store, 1);
    platform_host entry(store, 2);
    fake_upstream_behavior behavior;
    behavior.headers = {{"X-Response-Signature", "test"}, {"X-Server-Load", "1,0,12,100"}};
    owner.upstream.set_behavior(behavior);
    BOOST_REQUIRE(owner.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(owner.announce(1) == 200);
    BOOST_REQUIRE(entry.wait_for_status("/reads/x", 200));
    for (int request = 0; request < 100; ++request) {
        behavior.headers["X-Server-Load"] = request < 70 ? "1,0,12,100" : "1,0,12,250";
        owner.upstream.set_behavior(behavior);
        entry.client().Get("/reads/x");
    }
    behavior.headers["X-Server-Load"] = "1,0";
    owner.upstream.set_behavior(behavior);
    entry.client().Get("/reads/x");
    // The settings of the test hosts state a link of 12.5 Mbit/s.
    BOOST_TEST(entry.wait_for_log("chosen_link=0.0"), entry.log());
    BOOST_TEST(largest_in_log(entry.log(), "chosen_speed=") > 1.2, entry.log());
    absl::SleepFor(absl::Seconds(1.5)); // Counters are published once a second.
    BOOST_TEST(metric(owner, "link_bytes_total") > 10'000);
    BOOST_TEST(metric(entry, "link_bytes_total") > 10'000);
    BOOST_TEST(metric(owner, "upstream_load_reports_malformed_total") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
