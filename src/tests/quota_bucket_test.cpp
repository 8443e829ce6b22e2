#include "quota/quota_bucket.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

/// The bucket of one tenant at one daemon must follow the fraction of the fleet and the limit.
BOOST_AUTO_TEST_SUITE(quota_bucket_test)

using namespace amaranthladder;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

struct limits_row {
    const char* name;
    double rate;
    double burst;
    quota_limits limits = {};

    friend std::ostream& operator<<(std::ostream& out, const limits_row& row) {
        return out << row.name;
    }
};

const limits_row limits_rows[] = {
    {"smallest tenant of P", 3.8, 3.8},
    {"largest tenant of P", 800, 800},
    {"no burst", 100, 0},
    {"no burst, high rate", 100'000, 0},
    {"burst of a minute", 10, 600},
    {"one request in ten seconds", 0.1, 0},
    {"no slack", 50, 50, {absl::Seconds(5), 0.1, 0}},
    {"no overage", 50, 50, {absl::Seconds(5), 0, 20}},
    {"short window", 50, 50, {absl::Seconds(1), 0.1, 20}},
};

} // namespace

// Guards against a division of the bound that grants more than the bound in steady operation.
BOOST_DATA_TEST_CASE(parts_stay_below_the_bound, boost::unit_test::data::make(limits_rows)) {
    const quota_limits& limits = sample.limits;
    const quota_allowance allowance = make_quota_allowance(sample.rate, sample.burst, limits);
    const double window_s = absl::ToDoubleSeconds(limits.window);
    const double period_s = window_s + absl::ToDoubleSeconds(token_lifetime);
    const double bound = (sample.rate * window_s + sample.burst) * (1 + limits.overage) + limits.slack;
    const double granted = allowance.rate * period_s + allowance.capacity +
                           3 * (allowance.reserve_rate * period_s + allowance.reserve_capacity);
    BOOST_TEST(granted <= bound);
    BOOST_TEST(allowance.rate > 0);
    BOOST_TEST(allowance.capacity > 0);
}

BOOST_AUTO_TEST_CASE(fraction_rises_slowly_and_falls_at_once) {
    quota_bucket bucket(make_quota_allowance(100, 100, {}), 0, start, start);
    bucket.advance(1, start + absl::Seconds(1));
    BOOST_TEST(bucket.fraction() == quota_bucket::rise_per_second, boost::test_tools::tolerance(1e-9));
    bucket.advance(0.1, start + absl::Seconds(2));
    BOOST_TEST(bucket.fraction() == 0.1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(bucket.take(1000) <= bucket.allowance().capacity * 0.1);
}

// Guards against tokens that were saved under the old limit and used under the new one.
BOOST_AUTO_TEST_CASE(lowered_limit_reduces_the_content) {
    quota_bucket bucket(make_quota_allowance(1000, 1000, {}), 1, start - absl::Minutes(1), start);
    const quota_allowance lowered = make_quota_allowance(10, 10, {});
    bucket.set_allowance(lowered);
    BOOST_TEST(bucket.take(100'000) <= lowered.capacity);
    BOOST_TEST(bucket.take_reserve(start) <= lowered.reserve_capacity);
}

BOOST_AUTO_TEST_CASE(is_empty_after_a_pause) {
    quota_bucket bucket(make_quota_allowance(1000, 1000, {}), 1, start - absl::Minutes(1), start);
    bucket.clear(start);
    BOOST_TEST(bucket.take(1) == 0U);
    BOOST_TEST(bucket.take_reserve(start) == 0U);
}

BOOST_AUTO_TEST_CASE(earlier_times_add_nothing) {
    quota_bucket bucket(make_quota_allowance(1000, 1000, {}), 1, start - absl::Minutes(1), start);
    bucket.take(100'000);
    bucket.advance(1, start - absl::Seconds(5));
    BOOST_TEST(bucket.take(1) == 0U);
}

// Guards against tokens that two daemons grant for the same entry.
BOOST_AUTO_TEST_CASE(tokens_granted_by_others_are_subtracted) {
    quota_bucket bucket(make_quota_allowance(100, 100, {}), 1, start - absl::Seconds(60), start);
    const double before = bucket.tokens();
    bucket.subtract(before + 10);
    BOOST_TEST(bucket.take(1) == 0U);
    bucket.advance(1, start + absl::Milliseconds(50));
    BOOST_TEST(bucket.take(1) == 0U);
    bucket.subtract(100000);
    bucket.advance(1, start + absl::Seconds(2));
    BOOST_TEST(bucket.take(1) == 1U);
}

// Guards against a slow rise after a planned change of the daemon in charge.
BOOST_AUTO_TEST_CASE(a_bucket_that_is_taken_over_fills_at_the_full_fraction) {
    quota_bucket bucket(make_quota_allowance(100, 100, {}), 0, start, start);
    bucket.take_over(1, 7, start);
    BOOST_TEST(bucket.fraction() == 1);
    BOOST_TEST(bucket.take(100) == 7U);
    bucket.take_over(1, 100000, start);
    BOOST_TEST(bucket.tokens() <= bucket.allowance().capacity);
}

BOOST_AUTO_TEST_SUITE_END()
