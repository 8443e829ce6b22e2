#include "routing/upstream_signals.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(upstream_signals_test)

absl::Time at(int ms) {
    return absl::FromUnixSeconds(1'700'000'000) + absl::Milliseconds(ms);
}

struct text_row {
    const char* text;
    std::optional<double> rate;

    friend std::ostream& operator<<(std::ostream& out, const text_row& row) {
        return out << '"' << row.text << '"';
    }
};

const text_row text_rows[] = {
    {"20.3", 20.3},         {"0", 0.0},           {"1e2", 100.0},          {"", std::nullopt},
    {"-1", std::nullopt},   {"-0", std::nullopt}, {"nan", std::nullopt},   {"inf", std::nullopt},
    {"12,5", std::nullopt}, {" 5", std::nullopt}, {"1e999", std::nullopt}, {"20 per second", std::nullopt},
};

// Guards against a limit that is not a number and stops or opens an upstream.
BOOST_DATA_TEST_CASE(reads_only_decimal_numbers, text_rows, row) {
    BOOST_TEST((parse_rate_limit(row.text) == row.rate));
}

// Guards against a response that was delayed and lifts or raises a limit that the upstream has named since.
BOOST_AUTO_TEST_CASE(late_response_does_not_lift_a_limit) {
    requested_rate_limit limit;
    BOOST_TEST(limit.observe(20, at(0), at(100)));
    BOOST_TEST(!limit.observe(std::nullopt, at(50), at(110)));
    BOOST_TEST(!limit.observe(30, at(60), at(120)));
    BOOST_TEST(*limit.value() == 20);
    BOOST_TEST(limit.observe(10, at(70), at(130)));
    BOOST_TEST(!limit.observe(20, at(120), at(140)));
    BOOST_TEST(*limit.value() == 10);
}

// Guards against a limit that stays after the upstream has stopped naming it.
BOOST_AUTO_TEST_CASE(response_to_a_later_request_lifts_a_limit) {
    requested_rate_limit limit;
    limit.observe(20, at(0), at(100));
    BOOST_TEST(limit.observe(30, at(110), at(200)));
    BOOST_TEST(*limit.value() == 30);
    BOOST_TEST(limit.observe(std::nullopt, at(210), at(300)));
    BOOST_TEST(!limit.value().has_value());
}

// Guards against a limit that is confirmed for long and then lifted by a response from before the last confirmation.
BOOST_AUTO_TEST_CASE(confirmation_renews_a_limit) {
    requested_rate_limit limit;
    limit.observe(20, at(0), at(100));
    BOOST_TEST(!limit.observe(20, at(150), at(300)));
    BOOST_TEST(!limit.observe(std::nullopt, at(250), at(310)));
    BOOST_TEST((limit.named_at() == at(300)));
    BOOST_TEST(limit.value().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
