#include "moves/order_board.h"
#include "moves/order_policy.h"

#include "common/error.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(order_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

move_order order(std::uint64_t introduced_in, int deadline_s, order_report reported = order_report::none) {
    return {"werkbank", "v2", introduced_in, start + absl::Seconds(deadline_s), reported};
}

} // namespace

// Guards against daemons that disagree on an order after they have exchanged their records.
BOOST_AUTO_TEST_CASE(merging_is_a_join) {
    const std::vector<move_order> orders{
        order(1, 16), order(1, 14), order(1, 16, order_report::running), order(1, 20, order_report::rolled_back),
        order(2, 30), order(2, 30)};
    for (const move_order& a : orders) {
        BOOST_TEST((merge(a, a) == a));
        BOOST_TEST((move_order::decode(a.encode()) == a));
        for (const move_order& b : orders) {
            BOOST_TEST((merge(a, b) == merge(b, a)));
            for (const move_order& c : orders) {
                BOOST_TEST((merge(merge(a, b), c) == merge(a, merge(b, c))));
            }
        }
    }
    BOOST_CHECK_THROW(move_order::decode("[1]"), error);
    BOOST_CHECK_THROW(move_order::decode(R"(["s","v",1,2,"later"])"), error);
}

// Guards against a restarted daemon that begins a move anew although its outcome has been reported.
BOOST_AUTO_TEST_CASE(reported_orders_set_fixed_shares) {
    order_board board(absl::Seconds(2));
    board.merge(order(1, 16));
    BOOST_TEST(board.moves().size() == 1U);
    BOOST_TEST((board.moves().begin()->second.deadline == start + absl::Seconds(14)));
    BOOST_TEST(board.final_shares().empty());
    board.merge(order(1, 16, order_report::completed));
    BOOST_TEST(board.moves().empty());
    BOOST_TEST(board.final_shares().at("werkbank").at("v2") == 1.0);
    BOOST_TEST(board.final_shares().at("werkbank").at("") == 0.0);
    board.merge(order(2, 40));
    BOOST_TEST(board.moves().size() == 1U);
}

struct outcome_row {
    const char* name;
    bool is_rolled_back;
    int whole_for_ms; ///< Below 0: the new version lacks the whole share.
    bool are_old_idle;
    int to_deadline_ms;
    order_report expected;

    friend std::ostream& operator<<(std::ostream& out, const outcome_row& row) {
        return out << row.name;
    }
};

const outcome_row outcome_rows[] = {
    {"just ordered", false, -1, false, 16'000, order_report::running},
    {"whole share, old upstreams still busy", false, 1'000, false, 2'000, order_report::running},
    {"whole share, but not every daemon may know", false, 100, true, 2'000, order_report::running},
    {"whole share and idle", false, 400, true, 2'000, order_report::completed},
    {"whole share, one old upstream does not answer, deadline near", false, 2'000, false, 400, order_report::completed},
    {"deadline passed without the whole share", false, -1, true, -100, order_report::running},
    {"rolled back", true, -1, false, 9'000, order_report::rolled_back},
    {"rolled back after the whole share", true, 500, true, 1'000, order_report::rolled_back},
};

// Guards against "completed" while requests run on the old version, which the platform stops at once.
BOOST_DATA_TEST_CASE(outcome_follows_the_facts, outcome_rows, row) {
    order_facts facts;
    facts.is_rolled_back = row.is_rolled_back;
    facts.are_old_idle = row.are_old_idle;
    if (row.whole_for_ms >= 0) {
        facts.whole_since = start - absl::Milliseconds(row.whole_for_ms);
    }
    move_order given = order(1, 0);
    given.deadline = start + absl::Milliseconds(row.to_deadline_ms);
    BOOST_TEST((outcome_of(given, facts, start) == row.expected));
}

// Guards against reports of all daemons at once, and against none when the first ones are cut off.
BOOST_AUTO_TEST_CASE(daemons_report_in_turn) {
    order_facts facts;
    facts.outcome_since = start;
    facts.turn = 2;
    const move_order given = order(1, 16, order_report::running);
    const auto due = [&](int after_ms, order_report outcome) {
        return is_report_due(given, outcome, facts, start + absl::Milliseconds(after_ms));
    };
    BOOST_TEST(!due(100, order_report::completed));
    BOOST_TEST(due(800, order_report::completed));
    BOOST_TEST(!due(800, order_report::running));
}

BOOST_AUTO_TEST_SUITE_END()
