#include "report/report_writer.h"

#include "common/error.h"
#include "fakes/report_store_fake.h"
#include "report/month_report.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(report_writer_test)

namespace {

const absl::Time sample_time = absl::FromUnixSeconds(1'800'000'000); // 2027-01-15

std::vector<month_record> sample_month() {
    return {
        make_outcome_record({"kiln@7", "done", 1503, 30, 1, 500}, sample_time),
        make_outcome_record({"band@8", "done-late", 1504, 90, 1, 500}, sample_time),
        make_outcome_record({"glue@9", "rolled-back", 1500, 4, 0.05, 3}, sample_time),
        make_outcome_record({"glue@10", "rolled-back", 1501, 12, 0.15, 120}, sample_time),
        make_outcome_record({"glue@11", "replaced", 1506, 5, 0.05, 9}, sample_time),
        make_sample_record({"nord-1", 100, 20'000, {100, 200, 300}}, sample_time),
        make_sample_record({"sued-1", 100, 40'000, {400}}, sample_time),
    };
}

} // namespace

BOOST_AUTO_TEST_CASE(summarizes_a_month) {
    const month_figures figures = summarize(sample_month());
    BOOST_TEST(figures.at("moves_in_time") == 1);
    BOOST_TEST(figures.at("moves_late") == 1);
    BOOST_TEST(figures.at("moves_rolled_back") == 2);
    BOOST_TEST(figures.at("moves_replaced") == 1);
    BOOST_TEST(figures.at("rollback_verdict_median_s") == 4);
    BOOST_TEST(figures.at("rollback_verdict_worst_s") == 12);
    BOOST_TEST(figures.at("rollback_share_worst_percent") == 15);
    BOOST_TEST(figures.at("rollback_exposed_calls") == 123);
    BOOST_TEST(figures.at("convergence_median_s") == 0.2);
    BOOST_TEST(figures.at("convergence_worst_s") == 0.4);
    BOOST_TEST(figures.at("control_bytes_per_daemon_s") == 300);
    BOOST_TEST(figures.at("control_bytes_total") == 60'000);
    BOOST_TEST(figures.at("daemons") == 2);
}

// A figure without measurements is absent, not zero.
BOOST_AUTO_TEST_CASE(omits_figures_without_data) {
    const month_figures figures = summarize({});
    BOOST_TEST(!figures.contains("convergence_median_s"));
    BOOST_TEST(!figures.contains("rollback_verdict_median_s"));
    BOOST_TEST(figures.at("moves_in_time") == 0);
}

BOOST_AUTO_TEST_CASE(formats_months_side_by_side) {
    report_columns columns{"kufenbach", "2027-01", summarize(sample_month()), "2026-12", summarize({}), true, {}};
    columns.comparison =
        read_comparison("figure,value\n# 2026\nmoves_late,3\r\nconvergence_median_s, 41.5\n", "old.csv");
    const std::string csv = report_csv(columns);
    BOOST_TEST(csv.starts_with("figure,unit,2027-01,2026-12,old_system\nconvergence_median_s,s,0.200,,41.500\n"));
    BOOST_TEST(csv.find("moves_late,,1,0,3\n") != std::string::npos);
    const std::string text = report_text(columns);
    BOOST_TEST(text.find("Convergence time, median") != std::string::npos);
    BOOST_TEST(text.find("41.500") != std::string::npos);
}

// `report --month` reads the previous month from the store and the comparison from its file.
BOOST_AUTO_TEST_CASE(reads_both_months_from_store) {
    fakes::report_store_fake store;
    month_table<fakes::report_store_fake> table(store, "kufenbach", absl::Seconds(1));
    for (const month_record& record : sample_month()) {
        BOOST_REQUIRE((table.add(record) == store_outcome::ok));
    }
    report_request request{"kufenbach", "2027-02", true, "old.csv", "moves_late,3\n"};
    BOOST_TEST(month_report(table, request).find("moves_late,,0,1,3\n") != std::string::npos);
    request.comparison_text.reset();
    request.uses_csv = false;
    BOOST_TEST(month_report(table, request).starts_with("Mesh kufenbach, 2027-02\n"));
    request.month = "2027-2";
    BOOST_CHECK_THROW(month_report(table, request), error);
}

struct malformed_comparison {
    const char* name;
    const char* text;
    const char* location;

    friend std::ostream& operator<<(std::ostream& out, const malformed_comparison& row) {
        return out << row.name;
    }
};

const malformed_comparison malformed_comparisons[] = {
    {"no comma", "figure,value\nmoves_late 3\n", "old.csv:2:"},
    {"unknown figure", "moves_early,3\n", "old.csv:1:"},
    {"not a number", "moves_late,three\n", "old.csv:1:"},
    {"text after the number", "moves_late,3 moves\n", "old.csv:1:"},
    {"negative", "\nmoves_late,-3\n", "old.csv:2:"},
    {"not finite", "moves_late,inf\n", "old.csv:1:"},
    {"figure twice", "moves_late,3\n\nmoves_late,4\n", "old.csv:3:"},
};

BOOST_DATA_TEST_CASE(rejects_malformed_comparison_with_line_number, malformed_comparisons, row) {
    BOOST_CHECK_EXCEPTION(read_comparison(row.text, "old.csv"), error, [&](const error& problem) {
        return problem.code() == result_code::report_compare_malformed &&
               std::string(problem.what()).find(row.location) != std::string::npos;
    });
}

BOOST_AUTO_TEST_CASE(computes_months) {
    BOOST_TEST(month_of(sample_time) == "2027-01");
    BOOST_TEST(previous_month("2027-01") == "2026-12");
    BOOST_TEST(previous_month("2027-12") == "2027-11");
    for (const char* malformed : {"", "2027", "2027-13", "2027-00", "2027-1", "202x-01", "2027/01"}) {
        BOOST_CHECK_THROW(previous_month(malformed), error);
    }
}

BOOST_AUTO_TEST_CASE(encoding_round_trips_and_rejects_malformed_records) {
    for (const month_record& record : sample_month()) {
        BOOST_TEST((month_record::decode(record.encode()) == record));
    }
    for (const char* malformed :
         {"", "{}", "[]", "{\"id\":\"a b\",\"month\":\"2027-01\"}", "{\"id\":\"a\",\"month\":\"x\"}",
          "{\"id\":\"a\",\"month\":\"2027-01\",\"verdict\":\"done\"}"}) {
        BOOST_CHECK_THROW(month_record::decode(malformed), error);
    }
}

BOOST_AUTO_TEST_SUITE_END()
