#include "common/event_log.h"
#include "fakes/two_daemons.h"
#include "peers/peer_server.h"

#include <absl/time/clock.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <stdexcept>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(unexpected_failure_test)

// Guards against a data path that ends, and a process with it, because of an exception in one of its tasks.
BOOST_AUTO_TEST_CASE(data_path_goes_on) {
    two_daemons mesh;
    for (auto* proxy : {mesh.entry.get(), mesh.owner.get()}) {
        for (int number = 0; number < 3; ++number) {
            proxy->query_load("tienda-1", [](int /*load*/) { throw std::runtime_error("made by a test"); });
        }
    }
    for (int number = 0; number < 5; ++number) {
        const auto answer = mesh.client().Get("/x");
        BOOST_REQUIRE(answer);
        BOOST_TEST(answer->status == 200);
    }
}

// Guards against a process that ends because a change that a peer has sent cannot be handled. The failure is reported.
BOOST_AUTO_TEST_CASE(peers_go_on) {
    std::atomic<int> calls = 0;
    std::atomic<int> failures = 0;
    peer_callbacks callbacks;
    callbacks.snapshot_bytes = [](const configuration_digest& /*base*/) { return std::string(); };
    callbacks.apply_snapshot = [](const std::string& /*bytes*/) { return pull_outcome::bad_content; };
    callbacks.on_change = [&](const node_output& /*changes*/) {
        ++calls;
        throw std::runtime_error("made by a test");
    };
    callbacks.on_failure = [&](const std::string& /*task*/, const std::string& reason) {
        failures += reason == "made by a test" ? 1 : 0;
    };
    peer_settings settings;
    settings.mesh = "litoral";
    settings.address = {"127.0.0.1", 0};
    settings.http_address = {"127.0.0.1", 1};
    settings.probe_interval = absl::Milliseconds(50);
    const opaque_rules rules{[](const std::string&, const std::string& stored, const std::string& received) {
                                 return std::max(stored, received);
                             },
                             nullptr, nullptr};
    peer_server first(settings, rules, callbacks);
    settings.seeds = {first.address()};
    settings.http_address = {"127.0.0.1", 2};
    peer_server second(settings, rules, callbacks);
    first.start();
    second.start();
    for (int number = 0; number < 5; ++number) {
        first.put_opaque({"key-" + std::to_string(number), "x"});
        absl::SleepFor(absl::Milliseconds(100));
    }
    const absl::Time limit = absl::Now() + absl::Seconds(20);
    while (second.opaque_records().size() < 5 && absl::Now() < limit) {
        absl::SleepFor(absl::Milliseconds(10));
    }
    BOOST_TEST(second.opaque_records().size() == 5U);
    BOOST_TEST(calls > 1);
    BOOST_TEST(failures == calls);
    second.stop();
    first.stop();
}

BOOST_AUTO_TEST_SUITE_END()
