#include "daemon/cold_state_checks.h"
#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <absl/time/clock.h>
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <optional>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(cold_state_checks_test)

namespace {

constexpr const char* configuration =
    R"({"version":"0000000c","routes":[{"name":"reads","authority":"","prefix":"/reads/","kind":"safe",)"
    R"("service":"tienda","target_latency_ms":1000,"priority":1,"max_attempts":2}],)"
    R"("services":[{"name":"tienda","health_path":"/health","cold_start_s":3,"cold_per_s":14}]})";

fake_upstream_behavior healthy(const platform_host& host) {
    fake_upstream_behavior behavior;
    behavior.headers = {
        {"X-Response-Signature", "test"}, {"X-Instance-Id", host.upstream_id()}, {"X-Cold-Start-Ms", "0"}};
    return behavior;
}

} // namespace

// Guards against health checks side by side, and against an answer of another upstream or one that does not say whether
// it is cold.
BOOST_AUTO_TEST_CASE(checks_run_one_at_a_time) {
    event_log log{event_log_options{log_level::off, "", 64}};
    const steady_clock clock;
    std::atomic<int> asked = 0;
    std::atomic<int> answered = 0;
    {
        cold_state_checks checks(
            [&](const endpoint& address) {
                ++asked;
                absl::SleepFor(absl::Milliseconds(30));
                upstream_identity result;
                result.id = "i-1";
                result.status = 200;
                if (address.port == 1) {
                    result.signals.remaining_cold = absl::Milliseconds(700);
                }
                return result;
            },
            [&](const std::string& id, const health_signals& signals, absl::Time asked_at) {
                // The first answer says how long the upstream is cold, the second one does not.
                const auto expected = answered == 0 ? std::optional(absl::Milliseconds(700)) : std::nullopt;
                answered += id == "i-1" && signals.remaining_cold == expected && asked_at <= clock.now() ? 1 : 100;
            },
            clock, log);
        for (int number = 0; number < 5; ++number) {
            checks.start("i-1", {"127.0.0.1", 1});
        }
        BOOST_TEST(asked <= 1);
        absl::SleepFor(absl::Milliseconds(300));
        checks.start("i-1", {"127.0.0.1", 2});
        absl::SleepFor(absl::Milliseconds(300));
        checks.start("i-2", {"127.0.0.1", 1});
    }
    BOOST_TEST(asked == 3);
    BOOST_TEST(answered == 2);
}

// Guards against an upstream that counts as warm after its connections were reset, against one that stays limited
// although its health check says that it is warm, and against a load in a health check that is not read. Plays it with
// real processes.
BOOST_AUTO_TEST_CASE(reset_connection_is_followed_by_one_check) {
    platform_store store;
    store.put("op/config", configuration);
    platform_host host(store, 1, std::string(default_platform_limits) + ",cold_overage=1.5,cold_slack=8");
    host.upstream.set_behavior(healthy(host));
    BOOST_REQUIRE(host.start_upstream());
    BOOST_TEST(host.wait_for_log("cold=false unknown=false reason=heartbeat"), host.log());
    fake_upstream_behavior resetting = healthy(host);
    resetting.reset_at = "after-body";
    host.upstream.set_behavior(resetting);
    host.client().Get("/reads/reset");
    fake_upstream_behavior loaded = healthy(host);
    loaded.headers["X-Server-Load"] = "3,1,12,250";
    host.upstream.set_behavior(loaded); // Only the health check gets this response.
    BOOST_TEST(host.wait_for_log("cold=true unknown=true reason=event"), host.log());
    BOOST_TEST(host.wait_for_log("cold=false unknown=false reason=health-check"), host.log());
    BOOST_TEST(host.wait_for_log("upstream-load upstream=" + host.upstream_id() +
                                 " source=health-check running=3 waiting=1 slots=12 speed=2.50 is_used=true"),
               host.log());
    const std::string log = host.log();
    const std::size_t first = log.find(" cold-check ");
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_TEST(log.find(" cold-check ", first + 1) == std::string::npos, log);
    // The upstream turns cold without a new start.
    std::string cold = host.heartbeat(9, "ready");
    boost::replace_first(cold, "\"cold_ms\":0", "\"cold_ms\":60000");
    httplib::Client control(host.control_address().address, 21004);
    const auto accepted = control.Put("/amaranthladder/instances/" + host.upstream_id(), cold, "application/json");
    BOOST_REQUIRE(accepted);
    BOOST_TEST(accepted->status == 200);
    BOOST_TEST(host.wait_for_log("cold=true unknown=false reason=heartbeat"), host.log());
    const std::size_t before = host.upstream.execution_counts().size();
    const absl::Time end = absl::Now() + absl::Seconds(1);
    for (int number = 0; absl::Now() < end; ++number) {
        host.client().Get("/reads/x", httplib::Headers{{"X-Deadline", "200"}});
    }
    BOOST_TEST(host.upstream.execution_counts().size() - before < 29U);
}

BOOST_AUTO_TEST_SUITE_END()
