#include "daemon/report_collector.h"

#include <boost/test/unit_test.hpp>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(report_collector_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'800'000'000);

move_status ended_move(const std::string& name, std::uint64_t introduced_in) {
    move_status result;
    result.identity = {name, introduced_in};
    result.verdict = move_verdict::rolled_back;
    result.reason = result_code::move_taken_back_failures;
    result.is_final = true;
    result.stage = 3;
    result.started_at = start;
    result.ended_at = start + absl::Seconds(5);
    result.new_version.calls = 7;
    return result;
}

} // namespace

// Guards against outcomes that are missing from the month's records or written more than once.
BOOST_AUTO_TEST_CASE(reports_each_outcome_once) {
    report_collector collector("worker-1", start);
    move_status running = ended_move("other", 1);
    running.is_final = false;
    const auto records = collector.collect({ended_move("tienda-v2", 4), running}, 0, start + absl::Seconds(6));
    BOOST_REQUIRE(records.size() == 1U);
    const auto& outcome = std::get<move_outcome>(records[0].content);
    BOOST_TEST(outcome.move == "tienda-v2@4");
    BOOST_TEST(outcome.verdict == "rolled-back");
    BOOST_TEST(outcome.time_to_verdict_s == 5.0);
    BOOST_TEST(outcome.new_version_share == 0.05);
    BOOST_TEST(outcome.new_version_calls == 7U);
    BOOST_TEST(collector.collect({ended_move("tienda-v2", 4)}, 0, start + absl::Seconds(7)).empty());
    // An edited move has another identity.
    BOOST_TEST(collector.collect({ended_move("tienda-v2", 5)}, 0, start + absl::Seconds(8)).size() == 1U);
}

// Guards against outcomes that are counted once per daemon.
BOOST_AUTO_TEST_CASE(outcomes_have_the_same_id_everywhere) {
    report_collector first("worker-1", start);
    report_collector other("worker-2", start);
    const std::vector<move_status> moves{ended_move("tienda-v2", 4)};
    BOOST_TEST(first.collect(moves, 0, start + absl::Seconds(6))[0].id ==
               other.collect(moves, 0, start + absl::Seconds(9))[0].id);
}

// Guards against bytes and versions that are counted in two windows or in no window.
BOOST_AUTO_TEST_CASE(samples_cover_each_window_once) {
    report_collector collector("worker-1", start);
    collector.record_convergence(absl::Milliseconds(120));
    collector.record_convergence(absl::Milliseconds(-3));
    BOOST_TEST(collector.collect({}, 500, start + absl::Minutes(9)).empty());
    const auto first = collector.collect({}, 1000, start + absl::Minutes(10));
    BOOST_REQUIRE(first.size() == 1U);
    const auto& sample = std::get<traffic_sample>(first[0].content);
    BOOST_TEST(sample.control_bytes == 1000U);
    BOOST_TEST(sample.window_seconds == 600.0);
    BOOST_TEST((sample.convergence_ms == std::vector<std::uint32_t>{120, 0}));
    const auto second = collector.collect({}, 1600, start + absl::Minutes(20));
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(std::get<traffic_sample>(second[0].content).control_bytes == 600U);
    BOOST_TEST(std::get<traffic_sample>(second[0].content).convergence_ms.empty());
    BOOST_TEST(first[0].id != second[0].id);
}

BOOST_AUTO_TEST_SUITE_END()
