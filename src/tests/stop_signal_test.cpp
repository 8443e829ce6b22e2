#include "common/stop_signal.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(stop_signal_test)

// Guards against a wait that returns early, which would make store calls without a pause.
BOOST_AUTO_TEST_CASE(waits_for_the_delay) {
    const stop_signal signal;
    const auto started_at = std::chrono::steady_clock::now();
    signal.wait(absl::Milliseconds(50));
    BOOST_TEST((std::chrono::steady_clock::now() - started_at >= std::chrono::milliseconds(50)));
    BOOST_TEST(!signal.is_stopped());
}

// Guards against a program that does not stop while one of its threads pauses.
BOOST_AUTO_TEST_CASE(stop_ends_a_wait) {
    stop_signal signal;
    std::thread waiting([&signal] { signal.wait(absl::Hours(1)); });
    signal.stop();
    waiting.join();
    signal.wait(absl::Hours(1));
    BOOST_TEST(signal.is_stopped());
}

BOOST_AUTO_TEST_SUITE_END()
