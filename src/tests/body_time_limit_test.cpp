#include "http/private/body_time_limit.h"

#include <boost/test/unit_test.hpp>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(body_time_limit_test)

namespace {

constexpr absl::Duration idle_timeout = absl::Seconds(30);
const absl::Time start = absl::FromUnixSeconds(1'000);
const absl::Time deadline = start + absl::Seconds(2);

} // namespace

// Guards against a flood or a drip of undeclared length that is read without an end.
BOOST_AUTO_TEST_CASE(undeclared_length_ends_with_the_deadline) {
    body_time_limit limit(deadline, false, idle_timeout);
    BOOST_TEST((limit.next_wait(start) == absl::Seconds(2) + body_time_limit::grace));
    for (absl::Time now = start; now < deadline + body_time_limit::grace; now += absl::Milliseconds(10)) {
        BOOST_TEST((limit.next_wait(now) > absl::ZeroDuration()));
        limit.on_read(now, now + absl::Milliseconds(1), 1'000'000);
    }
    BOOST_TEST((limit.next_wait(deadline + body_time_limit::grace) <= absl::ZeroDuration()));
}

// Guards against a sender that announces a length and then sends a byte now and then, for hours.
BOOST_AUTO_TEST_CASE(drip_of_declared_length_ends_soon_after_the_deadline) {
    body_time_limit limit(deadline, true, idle_timeout);
    absl::Time now = start;
    while (limit.next_wait(now) > absl::ZeroDuration()) {
        const absl::Time read_at = now;
        now += absl::Milliseconds(20);
        limit.on_read(read_at, now, 1);
        BOOST_REQUIRE((now < deadline + absl::Seconds(1)));
    }
    BOOST_TEST((now <= deadline + absl::Milliseconds(500)));
}

// Guards against a long download that is cut because its caller reads slowly: the sender is not the one to wait for.
BOOST_AUTO_TEST_CASE(slow_caller_of_declared_length_goes_on) {
    body_time_limit limit(deadline, true, idle_timeout);
    absl::Time now = start;
    for (int piece = 0; piece < 1000; ++piece) {
        const absl::Duration wait = limit.next_wait(now);
        BOOST_REQUIRE((wait > absl::ZeroDuration()));
        limit.on_read(now, now + absl::Milliseconds(1), 16'384);
        now += absl::Milliseconds(100);
    }
    BOOST_TEST((now > deadline + absl::Seconds(90)));
}

// Guards against a download that is cut although it arrives faster than the lowest rate.
BOOST_AUTO_TEST_CASE(slow_link_of_declared_length_goes_on) {
    body_time_limit limit(deadline, true, idle_timeout);
    absl::Time now = start;
    for (int piece = 0; piece < 200; ++piece) {
        BOOST_REQUIRE((limit.next_wait(now) > absl::Milliseconds(100)));
        limit.on_read(now, now + absl::Milliseconds(100), 16'384);
        now += absl::Milliseconds(100);
    }
}

// Guards against a wait without an end before the deadline.
BOOST_AUTO_TEST_CASE(idle_timeout_holds_before_the_deadline) {
    const body_time_limit limit(start + absl::Hours(1), true, idle_timeout);
    BOOST_TEST((limit.next_wait(start) == idle_timeout));
}

BOOST_AUTO_TEST_SUITE_END()
