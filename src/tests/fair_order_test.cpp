#include "routing/fair_order.h"
#include "routing/priority_balance.h"

#include <boost/test/unit_test.hpp>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(fair_order_test)

const absl::Time start = absl::FromUnixSeconds(1'000'000);

absl::Time at(double ms) {
    return start + absl::Milliseconds(ms);
}

// Guards against a hot tenant that takes the turns of the others, and against a lasting penalty for a past burst.
BOOST_AUTO_TEST_CASE(least_use_relative_to_the_allowance_goes_first) {
    fair_order order;
    const auto small = order.index_of("small", 10);
    const auto large = order.index_of("large", 40);
    for (int i = 0; i < 8; ++i) {
        for (const auto tenant : {small, large}) {
            order.on_offered(tenant, at(i));
            order.on_started(tenant, at(i));
        }
    }
    BOOST_TEST(order.is_before(large, small));
    BOOST_TEST(!order.is_before(small, large));
    BOOST_TEST(!order.is_before(small, small));
    for (int i = 0; i < 3; ++i) {
        order.on_offered(large, at(60'000));
        order.on_started(large, at(60'000));
    }
    BOOST_TEST(order.is_before(small, large)); // The burst of a minute ago has decayed.
}

// Guards against a tenant without a stated rate that counts as having no allowance or an unlimited one.
BOOST_AUTO_TEST_CASE(missing_rate_stands_for_the_mean) {
    fair_order order;
    const auto low = order.index_of("low", 10);
    const auto none = order.index_of("none", 0);
    const auto high = order.index_of("high", 30);
    for (const auto tenant : {low, none, high}) {
        order.on_offered(tenant, at(0));
        order.on_started(tenant, at(0));
    }
    BOOST_TEST(order.is_before(high, none));
    BOOST_TEST(order.is_before(none, low));
}

// Guards against a tenant of which less than a quarter of the share of all is served, because its load exceeds its
// allowance by far.
BOOST_AUTO_TEST_CASE(tenant_with_a_small_share_goes_first) {
    fair_order order;
    const auto hot = order.index_of("hot", 10);
    const auto other = order.index_of("other", 100);
    for (int i = 0; i < 100; ++i) {
        order.on_offered(other, at(i));
        order.on_started(other, at(i));
        order.on_offered(hot, at(i));
    }
    for (int i = 0; i < 30; ++i) {
        order.on_started(hot, at(100));
    }
    BOOST_TEST(!order.is_before(hot, other)); // 0.3 of it and 0.65 of all are served.
    for (int i = 0; i < 300; ++i) {
        order.on_offered(hot, at(100));
    }
    BOOST_TEST(order.is_before(hot, other)); // 0.075 of it and 0.26 of all.
}

// Guards against counts that leave their range in a daemon that runs for months.
BOOST_AUTO_TEST_CASE(order_lasts) {
    fair_order order;
    const auto often = order.index_of("often", 10);
    const auto seldom = order.index_of("seldom", 10);
    for (int second = 0; second < 100'000; second += 5) {
        for (const auto tenant : {often, often, seldom}) {
            order.on_offered(tenant, at(second * 1000.0));
            order.on_started(tenant, at(second * 1000.0));
        }
    }
    BOOST_TEST(order.is_before(seldom, often));
    BOOST_TEST(!order.is_before(often, seldom));
}

// Guards against favouring an urgent kind that is served as often as the others, or whose refusals are long past.
BOOST_AUTO_TEST_CASE(balance_compares_recent_refusals) {
    priority_balance balance;
    for (int i = 0; i < 10; ++i) {
        balance.on_offered(0, at(i));
        balance.on_offered(2, at(i));
    }
    BOOST_TEST(!balance.is_disadvantaged(0, at(10)));
    balance.on_refused(2, at(10));
    BOOST_TEST(!balance.is_disadvantaged(0, at(10)));
    BOOST_TEST(!balance.is_disadvantaged(2, at(10)));
    balance.on_refused(0, at(10));
    balance.on_refused(0, at(10));
    BOOST_TEST(balance.is_disadvantaged(0, at(11)));
    BOOST_TEST(!balance.is_disadvantaged(2, at(11)));
    BOOST_TEST(!balance.is_disadvantaged(0, at(1200)));
}

BOOST_AUTO_TEST_SUITE_END()
