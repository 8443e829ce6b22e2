#include "common/backoff.h"
#include "common/token_bucket.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(backoff_test)

// Guards against delays beyond the cap, delays without jitter and a cap that is never reached.
BOOST_AUTO_TEST_CASE(delays_grow_to_the_cap_with_full_jitter) {
    std::mt19937_64 random(7);
    backoff delays(absl::Seconds(1), absl::Seconds(30));
    absl::Duration limit = absl::Seconds(1);
    absl::Duration longest;
    absl::Duration shortest = absl::Hours(1);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const absl::Duration delay = delays.next_delay(random);
        BOOST_REQUIRE((delay >= absl::ZeroDuration() && delay < limit));
        limit = std::min(limit * 2, absl::Seconds(30));
        if (attempt > 5) {
            longest = std::max(longest, delay);
            shortest = std::min(shortest, delay);
        }
    }
    BOOST_TEST((longest > absl::Seconds(28)));
    BOOST_TEST((shortest < absl::Seconds(2)));
    delays.reset();
    BOOST_TEST((delays.next_delay(random) < absl::Seconds(1)));
}

// Guards against more attempts in a period than the refill rate allows, and against a bucket that is filled or blocked
// by a clock that steps back.
BOOST_AUTO_TEST_CASE(token_bucket_bounds_rate) {
    const absl::Time start = absl::UnixEpoch();
    token_bucket bucket(5, absl::Seconds(10), start);
    int taken = 0;
    for (int ms = 0; ms <= 3'600'000; ms += 100) {
        taken += bucket.try_take(start + absl::Milliseconds(ms)) ? 1 : 0;
    }
    BOOST_TEST(taken == 5 + 360);
    BOOST_TEST(!bucket.try_take(start));
    const absl::Time next = bucket.available_at(start + absl::Hours(1));
    BOOST_TEST((next > start + absl::Hours(1) && next <= start + absl::Hours(1) + absl::Seconds(10)));
    BOOST_TEST(bucket.try_take(next));
}

BOOST_AUTO_TEST_SUITE_END()
