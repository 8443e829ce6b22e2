#include "daemon/order_service.h"

#include <boost/test/unit_test.hpp>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(restored_report_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

move_order reported_order(order_report reported) {
    return {"werkbank", "v2", make_revision(1, 20), start + absl::Seconds(14), reported};
}

} // namespace

// Guards against an outcome that the operator can no longer read, because the store has lost the report and every
// daemon takes it for written.
BOOST_AUTO_TEST_CASE(report_is_written_again_after_a_restore) {
    order_service orders(absl::Seconds(2));
    orders.merge(reported_order(order_report::completed));
    BOOST_TEST(orders.due_reports(start).empty());
    orders.on_reports_lost(0, start);
    const auto due = orders.due_reports(start);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST((due.front().reported == order_report::completed));
    orders.on_report_written(due.front());
    BOOST_TEST(orders.due_reports(start + absl::Seconds(10)).empty());
}

// Guards against a store that gets the same report from every daemon of a fleet.
BOOST_AUTO_TEST_CASE(only_a_few_daemons_write_it_in_turn) {
    order_service third(absl::Seconds(2));
    third.merge(reported_order(order_report::rolled_back));
    third.on_reports_lost(2, start);
    BOOST_TEST(third.due_reports(start + absl::Milliseconds(100)).empty());
    BOOST_TEST(third.due_reports(start + absl::Milliseconds(900)).size() == 1U);
    order_service other(absl::Seconds(2));
    other.merge(reported_order(order_report::rolled_back));
    other.on_reports_lost(7, start);
    BOOST_TEST(other.due_reports(start + absl::Minutes(1)).empty());
}

// Guards against a report on an order that was replaced meanwhile, and against one without an outcome.
BOOST_AUTO_TEST_CASE(replaced_and_unreported_orders_are_left_out) {
    order_service orders(absl::Seconds(2));
    orders.merge(reported_order(order_report::completed));
    orders.on_reports_lost(0, start);
    orders.merge({"werkbank", "v3", make_revision(2, 21), start + absl::Seconds(20), order_report::none});
    BOOST_TEST(orders.due_reports(start).empty());
    orders.on_reports_lost(0, start);
    BOOST_TEST(orders.due_reports(start).empty());
}

BOOST_AUTO_TEST_SUITE_END()
