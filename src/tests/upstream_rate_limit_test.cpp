#include "fakes/two_daemons.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(upstream_rate_limit_test)

constexpr double limit_per_second = 20;
/// The platform allows this multiple of the limit, and this number of requests beside it, in any window.
constexpr double allowed_factor = 1.5;
constexpr int allowed_extra = 5;
constexpr int window_seconds = 4;

// Guards against an upstream that gets more requests than it has said it takes: its owner and another daemon send it as
// many as its slots allow.
BOOST_AUTO_TEST_CASE(upstream_gets_no_more_than_the_rate_that_it_names) {
    two_daemons mesh(6, 24);
    fake_upstream_behavior behavior;
    behavior.delay = absl::Milliseconds(50);
    behavior.headers["x-amaranthladder-rate-limit"] = "20";
    mesh.upstream.set_behavior(behavior);
    mesh.client().Get("/first");
    const std::size_t before = mesh.upstream.execution_counts().size();
    std::atomic<bool> is_over = false;
    std::atomic<int> served = 0;
    constexpr int caller_count = 8;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int index = 0; index < caller_count; ++index) {
        callers.emplace_back([&, index] {
            auto client = mesh.client(index % 2 == 0);
            while (!is_over) {
                const auto answer = client.Get("/x");
                served += answer && answer->status == 200 ? 1 : 0;
                if (!answer || answer->status != 200) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                }
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(window_seconds));
    const std::size_t sent = mesh.upstream.execution_counts().size() - before;
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    BOOST_TEST(static_cast<double>(sent) <= allowed_factor * limit_per_second * window_seconds + allowed_extra);
    // The limit is used: an upstream in need is not left idle.
    BOOST_TEST(served >= static_cast<int>(limit_per_second * window_seconds / 2));
}

BOOST_AUTO_TEST_SUITE_END()
