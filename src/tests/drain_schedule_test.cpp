#include "http/private/drain_schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(drain_schedule_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

absl::Time at(int milliseconds) {
    return start + absl::Milliseconds(milliseconds);
}

/// Callers are redirected after 2.2 s, and requests are given up after 5.5 s.
drain_schedule started_drain() {
    drain_schedule drain;
    drain.start(at(2200), at(5500));
    return drain;
}

} // namespace

struct request_row {
    const char* name;
    int now_ms;
    int expected_ms;
    int deadline_ms;
    bool is_accepted;
    bool is_sent;

    friend std::ostream& operator<<(std::ostream& out, const request_row& row) {
        return out << row.name;
    }
};

const request_row request_rows[] = {
    {"before callers know, quick", 100, 200, 10'000, true, true},
    {"before callers know, takes too long", 2000, 4000, 10'000, true, false},
    {"before callers know, unknown time", 2000, 0, 10'000, true, true},
    {"late, deadline in time", 3000, 200, 5400, true, true},
    {"late, deadline at the end", 3000, 200, 5500, false, true},
    {"late, deadline after the end", 3000, 200, 8000, false, true},
    {"late, slow, deadline in time", 3000, 9000, 5000, true, true},
    {"repeated just before the end", 5300, 500, 9000, false, false},
    {"repeated after the end, unknown time", 5600, 0, 9000, false, false},
};

// Guards against requests that are taken late in a planned stop and cut at its end while an upstream runs them, and
// against requests that are refused although they end in time. Pattern: planned stops under load, one by one.
BOOST_DATA_TEST_CASE(only_requests_that_end_in_time_are_served, request_rows, row) {
    const drain_schedule drain = started_drain();
    BOOST_TEST(drain.has_started());
    BOOST_TEST(drain.may_accept(at(row.now_ms), at(row.deadline_ms)) == row.is_accepted);
    BOOST_TEST(drain.may_send(at(row.now_ms), absl::Milliseconds(row.expected_ms), at(row.deadline_ms)) == row.is_sent);
}

// Guards against a daemon that refuses requests although nobody has asked it to stop, and against a second request to
// stop that prolongs the time.
BOOST_AUTO_TEST_CASE(only_the_first_start_counts) {
    drain_schedule drain;
    BOOST_TEST(!drain.has_started());
    BOOST_TEST(drain.may_accept(at(0), at(1'000'000)));
    BOOST_TEST(drain.may_send(at(0), absl::Seconds(100), at(1'000'000)));
    drain.start(at(2200), at(5500));
    drain.start(at(9000), at(19'000));
    BOOST_TEST(!drain.may_accept(at(3000), at(6000)));
}

BOOST_AUTO_TEST_SUITE_END()
