#include "tool/tool_options.h"

#include "common/error.h"
#include "tool/exit_status.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace amaranthladder;

namespace {

struct invalid_command_line {
    std::vector<std::string> arguments;
    result_code code;

    friend std::ostream& operator<<(std::ostream& out, const invalid_command_line& row) {
        for (const std::string& argument : row.arguments) {
            out << argument << ' ';
        }
        return out;
    }
};

const invalid_command_line invalid_command_lines[] = {
    {{}, result_code::usage},
    {{"report"}, result_code::usage},
    {{"report", "--mesh", "litoral"}, result_code::usage},
    {{"report", "--month", "2026-12"}, result_code::usage},
    {{"status", "--month", "2026-12"}, result_code::usage},
    {{"status", "--csv"}, result_code::usage},
    {{"apply", "folder", "--compare", "old.csv"}, result_code::usage},
    {{"apply"}, result_code::usage},
    {{"status", "folder"}, result_code::usage},
    {{"apply", "folder", "more"}, result_code::usage},
    {{"apply", "folder", "--unknown"}, result_code::usage},
    {{"apply", "folder", "--expect-version", "x"}, result_code::usage},
    {{"check", "folder", "--expect-version", "1"}, result_code::usage},
    {{"apply", "folder", "--against", "running"}, result_code::usage},
    {{"apply", "folder", "--format", "json"}, result_code::usage},
    {{"check", "folder", "--format", "xml"}, result_code::usage},
    {{"check", "folder", "--json", "--format", "text"}, result_code::usage},
    {{"check", "--against", "running"}, result_code::usage},
    {{"explain"}, result_code::usage},
    {{"explain", "--move", "m", "--route", "r"}, result_code::usage},
    {{"status", "--route", "r"}, result_code::usage},
    {{"status", "--daemon", "localhost:1"}, result_code::setting_bad_value},
    {{"apply", "folder", "--deadline", "3"}, result_code::setting_bad_unit},
};

struct exit_status_case {
    result_code code;
    int status;

    friend std::ostream& operator<<(std::ostream& out, const exit_status_case& row) {
        return out << name(row.code);
    }
};

const exit_status_case exit_status_cases[] = {
    {result_code::ok, 0},
    {result_code::publish_unchanged, 0},
    {result_code::config_syntax, 1},
    {result_code::config_move_conflict, 1},
    {result_code::file_unreadable, 1},
    {result_code::check_route_never_matches, 1},
    {result_code::check_difference, 1},
    {result_code::usage, 2},
    {result_code::store_unavailable, 3},
    {result_code::peer_unreachable, 3},
    {result_code::publish_raced, 4},
    {result_code::publish_unresolved, 5},
    {result_code::store_bad_answer, 6},
    {result_code::snapshot_hash_mismatch, 6},
    {result_code::store_conflict, 6},
};

} // namespace

BOOST_AUTO_TEST_SUITE(tool_options_test)

// A mistyped command line must not run another command.
BOOST_DATA_TEST_CASE(rejects_invalid_command_lines, invalid_command_lines, row) {
    BOOST_CHECK_EXCEPTION(tool_options::parse(row.arguments), error,
                          [&](const error& problem) { return problem.code() == row.code; });
}

BOOST_AUTO_TEST_CASE(parses_command_line) {
    const auto parsed =
        tool_options::parse({"apply", "conf", "--json", "--store", "10.0.0.1:9", "--expect-version", "4"});
    BOOST_TEST(parsed.command == "apply");
    BOOST_TEST(parsed.folder == "conf");
    BOOST_TEST(parsed.uses_json);
    BOOST_TEST(to_string(parsed.store) == "10.0.0.1:9");
    BOOST_TEST(parsed.expected_version.value() == 4U);
    BOOST_TEST(tool_options::parse({"explain", "--request", "GET /x"}).request.value() == "GET /x");
    BOOST_TEST(tool_options::parse({"--help"}).is_help_requested);
    BOOST_TEST(tool_options::parse({"--version"}).is_version_requested);
}

// Scripts must be able to tell a raced or unresolved publish from a completed one.
BOOST_DATA_TEST_CASE(maps_result_codes_to_exit_statuses, exit_status_cases, row) {
    BOOST_TEST(static_cast<int>(exit_status_of(row.code)) == row.status);
}

BOOST_AUTO_TEST_SUITE_END()
