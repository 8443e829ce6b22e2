#include "fakes/platform_host.h"
#include "fakes/platform_store.h"
#include "fakes/two_daemons.h"

#include <absl/time/clock.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(endless_control_request_test)

namespace {

constexpr std::size_t piece_bytes = std::size_t{64} * 1024;
constexpr std::size_t sent_bytes = std::size_t{128} * 1024 * 1024;
constexpr long max_growth_kib = 16L * 1024;
constexpr absl::Duration send_limit = absl::Seconds(5);

} // namespace

struct endless_request_row {
    const char* name;
    const char* first;
    const char* repeated; ///< Sent again and again after `first`.

    friend std::ostream& operator<<(std::ostream& out, const endless_request_row& row) {
        return out << row.name;
    }
};

const endless_request_row endless_request_rows[] = {
    {"request line", "GET /metrics", "x"},
    {"header line", "GET /metrics HTTP/1.1\r\nx-filler: ", "x"},
    {"header lines", "GET /metrics HTTP/1.1\r\n", "x-filler: 0123456789\r\n"},
    {"chunked body", "PUT /v1/upstream HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
};

// Guards against a request to the status and metrics address that never ends and fills the daemon's memory. Related to
// review case 1: both were read without limits.
BOOST_DATA_TEST_CASE(endless_requests_do_not_fill_the_memory, endless_request_rows, row) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    BOOST_REQUIRE(host.start_upstream());
    const long before_kib = host.resident_kib();
    std::string piece;
    while (piece.size() < piece_bytes) {
        piece += row.repeated;
    }
    raw_connection caller(host.control_address());
    caller.send(row.first);
    std::size_t sent = 0;
    const absl::Time until = absl::Now() + send_limit;
    while (sent < sent_bytes && absl::Now() < until && caller.send(piece)) {
        sent += piece.size();
    }
    BOOST_TEST(host.resident_kib() - before_kib < max_growth_kib, "after " << sent << " bytes");
    raw_connection next(host.control_address());
    BOOST_REQUIRE(next.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    BOOST_TEST(next.receive_all().starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()
