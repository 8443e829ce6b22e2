#include "report/report_recorder.h"

#include "fakes/report_store_fake.h"

#include <absl/random/random.h>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace amaranthladder;
using namespace amaranthladder::fakes;

BOOST_AUTO_TEST_SUITE(report_recorder_test)

namespace {

const absl::Time start_time = absl::FromUnixSeconds(1'800'000'000); // 2027-01-15

month_record outcome(int number) {
    return make_outcome_record({"kiln@" + std::to_string(number), "done", 1503, 30, 1, 500}, start_time);
}

month_record sample(int number) {
    return make_sample_record({"nord-1", 3600, 1000, {150, 900}}, start_time + absl::Seconds(number));
}

struct recorder_fixture {
    report_store_fake store;
    month_table<report_store_fake> table{store, "kufenbach", absl::Seconds(1)};
    report_recorder<report_store_fake> recorder{table, 16};
    std::mt19937_64 random{1};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(writes_and_reads_records, recorder_fixture) {
    recorder.add(outcome(1));
    recorder.add(sample(1));
    recorder.run(start_time, random);
    BOOST_TEST(recorder.pending() == 0U);
    const auto records = table.read("2027-01");
    BOOST_REQUIRE(records.size() == 2U);
    BOOST_TEST((records[0] == outcome(1)));
    BOOST_TEST((records[1] == sample(1)));
    BOOST_TEST(table.read("2026-12").empty());
}

// Several daemons may write the same record; it must count once.
BOOST_FIXTURE_TEST_CASE(counts_duplicate_records_once, recorder_fixture) {
    month_table<report_store_fake> other_table(store, "kufenbach", absl::Seconds(1));
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST((table.add(outcome(1)) == store_outcome::ok));
        BOOST_TEST((other_table.add(outcome(1)) == store_outcome::ok));
    }
    BOOST_TEST(table.read("2027-01").size() == 1U);
    // A duplicate line, which writes to two pages can leave, also counts once.
    for (auto& [key, stored] : store.values) {
        stored.value += stored.value;
    }
    BOOST_TEST(table.read("2027-01").size() == 1U);
}

// A lost response to a write must neither lose nor duplicate the record.
BOOST_FIXTURE_TEST_CASE(resolves_lost_response_by_reading_back, recorder_fixture) {
    store.on_write = [] { return store_outcome::unknown; };
    recorder.add(outcome(1));
    recorder.run(start_time, random);
    BOOST_TEST(recorder.pending() == 1U);
    recorder.run(start_time + absl::Minutes(2), random);
    BOOST_TEST(recorder.pending() == 0U);
    BOOST_TEST(table.read("2027-01").size() == 1U);
}

// Guards against records lost in an outage and against retries without backoff.
BOOST_FIXTURE_TEST_CASE(keeps_records_during_outage, recorder_fixture) {
    store.is_down = true;
    recorder.add(outcome(1));
    recorder.run(start_time, random);
    store.is_down = false;
    recorder.run(start_time + absl::Milliseconds(100), random);
    BOOST_TEST(recorder.pending() == 1U);
    recorder.run(start_time + absl::Minutes(2), random);
    BOOST_TEST(recorder.pending() == 0U);
    BOOST_TEST(table.read("2027-01").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(full_queue_drops_samples_first, recorder_fixture) {
    store.is_down = true;
    recorder.add(outcome(1));
    for (int number = 0; number < 100; ++number) {
        recorder.add(sample(number));
    }
    BOOST_TEST(recorder.pending() == 16U);
    BOOST_TEST(recorder.dropped() == 85U);
    store.is_down = false;
    recorder.run(start_time, random);
    BOOST_TEST((table.read("2027-01").front() == outcome(1)));
}

// Pages must stay below the store's size limit, and concurrent writes of two daemons must not overwrite each other.
BOOST_FIXTURE_TEST_CASE(splits_large_month_and_retries_conflicts, recorder_fixture) {
    int writes = 0;
    month_table<report_store_fake> other_table(store, "kufenbach", absl::Seconds(1));
    store.on_write = [&] {
        // Another daemon writes between the read and the write of every fifth record.
        if (++writes % 5 == 0) {
            other_table.add(outcome(100'000 + writes));
        }
        return store_outcome::ok;
    };
    for (int number = 0; number < 2'000; ++number) {
        BOOST_REQUIRE((table.add(outcome(number)) == store_outcome::ok));
    }
    store.on_write = [] { return store_outcome::ok; };
    BOOST_TEST(store.values.size() > 2U);
    for (const auto& [key, stored] : store.values) {
        BOOST_TEST(stored.value.size() <= month_table<report_store_fake>::max_page_size);
    }
    BOOST_TEST(table.read("2027-01").size() >= 2'400U);
}

BOOST_FIXTURE_TEST_CASE(read_during_outage_throws_store_unavailable, recorder_fixture) {
    store.is_down = true;
    BOOST_CHECK_EXCEPTION(table.read("2027-01"), error,
                          [](const error& problem) { return problem.code() == result_code::store_unavailable; });
}

BOOST_AUTO_TEST_SUITE_END()
