#include "common/endpoint.h"
#include "common/error.h"
#include "common/result_code.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(result_code_test)

// describe() uses binary search, so the table must be sorted; names must be unique.
BOOST_AUTO_TEST_CASE(table_is_ordered_and_unique) {
    std::set<std::string_view> names;
    int previous = -1;
    for (const auto& row : result_codes()) {
        BOOST_TEST(static_cast<int>(row.code) > previous);
        previous = static_cast<int>(row.code);
        BOOST_TEST(names.insert(row.name).second);
        BOOST_TEST(!row.text.empty());
        BOOST_TEST(&describe(row.code) == &row);
    }
}

// Every code of a refused request must state whether the request may have been executed.
BOOST_AUTO_TEST_CASE(request_codes_state_execution) {
    for (const auto& row : result_codes()) {
        const int number = static_cast<int>(row.code);
        if (number >= 1400 && number < 1500) {
            BOOST_TEST((row.request_execution != execution::not_applicable));
            BOOST_TEST(row.http_status >= 400);
        }
    }
}

BOOST_AUTO_TEST_CASE(error_text_starts_with_the_number) {
    const error problem(result_code::no_route, "GET /x");
    BOOST_TEST(std::string(problem.what()) == "1400 no-route: GET /x");
}

const char* const malformed_endpoints[] = {"",    "1.2.3.4",   "1.2.3.4:", "1.2.3.4:70000", "localhost:80",
                                           ":80", "1.2.3.4:-1"};

BOOST_DATA_TEST_CASE(rejects_malformed_endpoints, malformed_endpoints, text) {
    BOOST_CHECK_THROW(parse_endpoint(text), error);
}

BOOST_AUTO_TEST_CASE(endpoints_round_trip) {
    for (const std::string text : {"127.0.0.1:8080", "[::1]:80"}) {
        BOOST_TEST(to_string(parse_endpoint(text)) == text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
