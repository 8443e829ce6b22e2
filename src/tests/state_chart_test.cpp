#include "common/embedded_charts.h"
#include "common/error.h"
#include "common/state_chart.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(state_chart_test)

struct invalid_chart {
    const char* name;
    const char* text;
    result_code code;

    friend std::ostream& operator<<(std::ostream& out, const invalid_chart& row) {
        return out << row.name;
    }
};

const invalid_chart invalid_charts[] = {
    {"no initial state", "[a]\n", result_code::chart_syntax},
    {"key before any state", "on.x = a\n", result_code::chart_syntax},
    {"line without a value", "[a]\ninitial = yes\nnonsense\n", result_code::chart_syntax},
    {"unknown key", "[a]\ninitial = yes\ncolour = red\n", result_code::chart_syntax},
    {"two transitions for one event", "[a]\ninitial = yes\non.x = a\non.x = a\n", result_code::chart_syntax},
    {"final state with a transition", "[a]\ninitial = yes\nfinal = yes\non.x = a\n", result_code::chart_syntax},
    {"unknown target", "[a]\ninitial = yes\non.x = b\n", result_code::chart_unknown_state},
    {"missing target", "[a]\ninitial = yes\non.x =\n", result_code::chart_missing_target},
    {"unreachable state", "[a]\ninitial = yes\n[b]\non.x = a\n", result_code::chart_unreachable_state},
};

// A program must not start with an invalid chart.
BOOST_DATA_TEST_CASE(rejects_invalid_charts, invalid_charts, row) {
    BOOST_CHECK_EXCEPTION(state_chart("test", row.text), error,
                          [&](const error& problem) { return problem.code() == row.code; });
}

BOOST_AUTO_TEST_CASE(follows_transitions) {
    const state_chart chart("test", "# comment\n[a]\ninitial = yes\non.go = b\n[b]\nfinal = yes\n");
    BOOST_TEST(chart.initial() == "a");
    BOOST_TEST(chart.target("a", "go").value() == "b");
    BOOST_TEST(!chart.target("a", "other").has_value());
    BOOST_TEST(chart.is_final("b"));
    BOOST_CHECK_THROW(chart.target("c", "go"), error);
}

// Guards against releasing a program with an invalid chart.
BOOST_AUTO_TEST_CASE(every_embedded_chart_is_valid) {
    BOOST_REQUIRE(!embedded_charts().empty());
    for (const auto& [name, text] : embedded_charts()) {
        BOOST_CHECK_NO_THROW(state_chart::embedded(name));
    }
    BOOST_CHECK_THROW(state_chart::embedded("no-such-chart"), error);
}

BOOST_AUTO_TEST_SUITE_END()
