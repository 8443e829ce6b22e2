#include "http/private/forwarding_headers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(forwarding_headers_test)

// Guards against figures that get lost or change between owner and entry.
BOOST_AUTO_TEST_CASE(reports_travel_unchanged) {
    owner_report sent{1.25, absl::Milliseconds(60), absl::Milliseconds(42)};
    sent.work_factor = 2.5;
    sent.link_utilisation = 0.72;
    sent.link_mbps = 12.5;
    http::fields fields;
    write_report(fields, sent);
    const std::optional<owner_report> received = read_report(fields);
    BOOST_REQUIRE(received);
    BOOST_TEST(received->load == 1.25);
    BOOST_CHECK(received->route_service_time == absl::Milliseconds(42));
    BOOST_TEST(received->work_factor == 2.5);
    BOOST_TEST(std::abs(received->link_utilisation.value_or(0) - 0.72) < 1e-9);
    BOOST_TEST(received->link_mbps == 12.5);
}

// Guards against bytes for figures that say nothing.
BOOST_AUTO_TEST_CASE(usual_figures_are_not_sent) {
    http::fields fields;
    write_report(fields, {1, absl::Milliseconds(60), absl::Milliseconds(42)});
    for (const std::string_view name : {header::speed, header::link, header::link_mbps}) {
        BOOST_TEST(fields.count(beast_view(name)) == 0);
    }
    BOOST_TEST(read_report(fields)->work_factor == 1);
    BOOST_CHECK(!read_report(fields)->link_utilisation);
}

struct odd_header {
    std::string_view name;
    const char* value;

    friend std::ostream& operator<<(std::ostream& out, const odd_header& row) {
        return out << row.name << '=' << row.value;
    }
};

const odd_header odd_headers[] = {
    {header::speed, "0"},     {header::speed, "-5"},     {header::speed, "nan"},   {header::speed, "inf"},
    {header::speed, "fast"},  {header::link, "-1"},      {header::link, "nan"},    {header::link, "inf"},
    {header::link_mbps, "0"}, {header::link_mbps, "-1"}, {header::link_mbps, "x"},
};

// Guards against an owner whose figures make an upstream infinitely cheap or dear.
BOOST_DATA_TEST_CASE(odd_figures_are_ignored, odd_headers, row) {
    http::fields fields;
    owner_report sent{1, absl::Milliseconds(60), absl::Milliseconds(42)};
    sent.link_utilisation = 0.5;
    sent.link_mbps = 10;
    write_report(fields, sent);
    fields.set(beast_view(row.name), row.value);
    const std::optional<owner_report> received = read_report(fields);
    BOOST_REQUIRE(received);
    BOOST_TEST(received->work_factor == 1);
    BOOST_CHECK(row.name == header::speed || !received->link_utilisation);
}

// Guards against load reports of upstreams that are taken over or dropped without a count.
BOOST_AUTO_TEST_CASE(reads_the_upstreams_load) {
    header_names names;
    http::fields fields;
    BOOST_CHECK(!read_upstream_signals(fields, names).server_load);
    BOOST_TEST(!read_upstream_signals(fields, names).is_server_load_malformed);
    fields.set(beast_view(names.server_load), "3,1,12,250");
    BOOST_TEST(read_upstream_signals(fields, names).server_load.value().work_factor.value() == 2.5);
    fields.set(beast_view(names.server_load), "3,1");
    BOOST_TEST(read_upstream_signals(fields, names).is_server_load_malformed);
}

BOOST_AUTO_TEST_SUITE_END()
