#include "routing/connection_health.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(connection_health_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

struct reuse_row {
    const char* name;
    double age_s;
    double idle_s;
    bool for_idempotent;
    bool for_other;

    friend std::ostream& operator<<(std::ostream& out, const reuse_row& row) {
        return out << row.name;
    }
};

const reuse_row reuse_rows[] = {
    {"fresh", 0, 0, true, true},
    {"idle for a second", 60, 1, true, true},
    {"idle a little longer", 60, 1.1, true, false},
    {"idle for 20 s", 60, 20, true, false},
    {"idle too long", 60, 20.1, false, false},
    {"too old", 601, 0, false, false},
};

// Guards against losing requests that cannot be retried on connections whose state a device on the path has dropped.
BOOST_DATA_TEST_CASE(limits_reuse, reuse_rows, row) {
    const connection_health health;
    const absl::Time now = start + absl::Hours(1);
    const connection_info connection{1, now - absl::Seconds(row.age_s), now - absl::Seconds(row.idle_s)};
    BOOST_TEST(health.may_reuse(connection, true, now) == row.for_idempotent);
    BOOST_TEST(health.may_reuse(connection, false, now) == row.for_other);
    BOOST_TEST(health.is_expired(connection, now) != row.for_idempotent);
}

struct retire_row {
    const char* name;
    double opened_s;   ///< Relative to the time when the unanswered request was sent.
    double received_s; ///< Relative to the time when the unanswered request was sent.
    bool is_retired;

    friend std::ostream& operator<<(std::ostream& out, const retire_row& row) {
        return out << row.name;
    }
};

const retire_row retire_rows[] = {
    {"older and silent since", -60, -1, true},
    {"younger than the timed-out one, silent since", -1, -1, true},
    {"older, has delivered since", -60, 0.1, false},
    {"opened since", 0.5, 0.5, false},
};

// Guards against losing a request on each connection that died with the first, and against closing working ones.
BOOST_DATA_TEST_CASE(retires_suspect_connections, retire_rows, row) {
    const connection_info silent{1, start - absl::Seconds(30), start - absl::Seconds(2)};
    const connection_info others[] = {silent,
                                      {2, start + absl::Seconds(row.opened_s), start + absl::Seconds(row.received_s)}};
    const auto retired = connection_health::connections_to_retire(silent, start, others);
    BOOST_TEST(retired == (row.is_retired ? std::vector<std::uint64_t>{2} : std::vector<std::uint64_t>{}),
               boost::test_tools::per_element());
}

struct timeout_row {
    const char* name;
    int samples;
    int latency_ms;
    bool is_idempotent;
    int remaining_ms;
    int expected_ms;

    friend std::ostream& operator<<(std::ostream& out, const timeout_row& row) {
        return out << row.name;
    }
};

const timeout_row timeout_rows[] = {
    {"no samples", 0, 0, true, 1000, 1000},
    {"few samples", 19, 100, true, 1000, 1000},
    {"four times the 99th percentile", 50, 100, true, 1000, 400},
    {"not below the minimum", 50, 5, true, 1000, 250},
    {"not past the deadline", 50, 100, true, 300, 300},
    {"no early timeout without a retry", 50, 100, false, 1000, 1000},
};

// Guards against a dead connection that holds a request until its deadline, and against timeouts in normal operation.
BOOST_DATA_TEST_CASE(derives_the_first_byte_timeout, timeout_rows, row) {
    first_byte_latency latency;
    for (int sample = 0; sample < row.samples; ++sample) {
        latency.observe(absl::Milliseconds(row.latency_ms));
    }
    const absl::Duration timeout =
        connection_health().first_byte_timeout(latency, row.is_idempotent, absl::Milliseconds(row.remaining_ms));
    BOOST_TEST(std::abs(absl::ToDoubleMilliseconds(timeout) - row.expected_ms) < 1);
}

// Guards against an estimate near the median, with which normal slow responses would time out.
BOOST_AUTO_TEST_CASE(estimates_the_99th_percentile) {
    std::mt19937_64 rng(1);
    std::exponential_distribution<double> sample(1 / 20.0);
    first_byte_latency latency;
    double above = 0;
    for (int call = 0; call < 20'000; ++call) {
        const absl::Duration measured = absl::Milliseconds(sample(rng));
        above += measured > latency.p99() ? 1 : 0;
        latency.observe(measured);
    }
    BOOST_TEST(above / 20'000 > 0.005);
    BOOST_TEST(above / 20'000 < 0.02);
}

BOOST_AUTO_TEST_SUITE_END()
