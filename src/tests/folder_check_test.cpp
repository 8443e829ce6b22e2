#include "tool/folder_check.h"

#include "config/configuration_holder.h"
#include "config/move_stamp.h"
#include "config/snapshot.h"
#include "config/state_builder.h"
#include "tool/exit_status.h"

#include <absl/random/distributions.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <initializer_list>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(folder_check_test)

namespace {

std::vector<config_file> load(const std::string& name) {
    return folder_merger::load(TEST_TRACES_FOLDER "/../checks/" + name);
}

bool has_errors(const check_report& report) {
    return std::ranges::any_of(
        report.findings, [](const check_finding& finding) { return finding.severity == finding_severity::error; });
}

struct folder_row {
    const char* folder;
    result_code code;
    finding_severity severity;
    int line;
    const char* section;
    const char* key;
    const char* text; ///< A part of the description.

    friend std::ostream& operator<<(std::ostream& out, const folder_row& row) {
        return out << row.folder;
    }
};

const folder_row folder_rows[] = {
    {"error", result_code::config_unknown_service, finding_severity::error, 4, "route orders", "service", "stock"},
    {"route-never-matches", result_code::check_route_never_matches, finding_severity::warning, 8, "route b-reads",
     "path_prefix", "[route a-all] (10.ini:3) takes all"},
    {"tenant-without-key", result_code::check_tenant_without_key, finding_severity::warning, 6, "tenant acme", "keys",
     "no request"},
    {"share-without-route", result_code::check_share_without_route, finding_severity::warning, 8, "share stock", "",
     "no route"},
    {"move-without-route", result_code::check_share_without_route, finding_severity::warning, 9, "move m", "service",
     "stock"},
    {"target-above-timeout", result_code::check_target_above_timeout, finding_severity::warning, 6, "route orders",
     "target_latency_ms", "800 ms is above the timeout of 500 ms"},
    {"quota-conflict", result_code::check_quota_conflict, finding_severity::warning, 8, "tenant acme", "burst",
     "without rate_per_second"},
    {"attempts-conflict", result_code::check_attempts_conflict, finding_severity::warning, 8, "route orders",
     "max_attempts", "3 attempts"},
};

} // namespace

// Guards against a kind of finding that is not reported, or without its place and a suggestion.
BOOST_DATA_TEST_CASE(reports_each_kind_of_finding, folder_rows, row) {
    const check_report report = folder_check::run(load(row.folder));
    const auto found =
        std::ranges::find(report.findings, row.code, [](const check_finding& finding) { return finding.problem.code; });
    BOOST_REQUIRE((found != report.findings.end()));
    BOOST_TEST((found->severity == row.severity));
    BOOST_TEST(found->problem.file == "10.ini");
    BOOST_TEST(found->problem.line == row.line);
    BOOST_TEST(found->problem.section == row.section);
    BOOST_TEST(found->problem.key == row.key);
    BOOST_TEST(found->problem.text.find(row.text) != std::string::npos, found->problem.text);
    BOOST_TEST(found->fix != "see docs/result-codes.md");
    BOOST_TEST(static_cast<int>(exit_status_of(report.code())) == 1);
}

// Guards against findings in a folder without any, and without a folder to compare with.
BOOST_AUTO_TEST_CASE(clean_folder_has_no_findings) {
    const check_report report = folder_check::run(load("clean"));
    for (const check_finding& finding : report.findings) {
        BOOST_TEST(false, to_string(finding));
    }
    BOOST_TEST((report.code() == result_code::ok));
    BOOST_TEST(report.tenants == 1U);
    for (const char* mesh : {"kufenbach", "litoral"}) {
        const check_report example =
            folder_check::run(folder_merger::load(TEST_DOCS_FOLDER "/examples/" + std::string(mesh)));
        for (const check_finding& finding : example.findings) {
            BOOST_TEST(false, to_string(finding));
        }
    }
}

// Guards against differences that are lost, reported twice or with the wrong place; a removed section has the place
// that it had.
BOOST_AUTO_TEST_CASE(reports_differences) {
    const intended_state base = state_builder::build_valid(load("clean"));
    BOOST_TEST(folder_check::run(load("clean"), &base).findings.empty());
    const check_report report = folder_check::run(load("difference"), &base);
    std::vector<std::string> lines;
    for (const check_finding& finding : report.findings) {
        BOOST_TEST((finding.severity == finding_severity::difference));
        lines.push_back(fmt::format("{} {} {}", finding.problem.line, finding.problem.text, finding.problem.section));
    }
    const std::vector<std::string> expected{"1 changed service shop", "3 changed route orders", "8 removed share shop",
                                            "10 removed tenant acme"};
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

struct limits_row {
    const char* name;
    const char* text; ///< Appended to a folder with a service with a timeout of 1000 ms.
    result_code code; ///< ok: no finding.

    friend std::ostream& operator<<(std::ostream& out, const limits_row& row) {
        return out << row.name;
    }
};

const limits_row limits_rows[] = {
    {"target at the timeout", "[route r]\nservice = s\npath_prefix = /\ntarget_latency_ms = 1000\n", result_code::ok},
    {"target above the service's timeout", "[route r]\nservice = s\npath_prefix = /\ntarget_latency_ms = 1001\n",
     result_code::check_target_above_timeout},
    {"the route's timeout goes before",
     "[route r]\nservice = s\npath_prefix = /\ntarget_latency_ms = 1500\ntimeout_ms = 2000\n", result_code::ok},
    {"the shorter timeout of a split",
     "[service t]\ntimeout_ms = 200\n[route r]\nservice = s\nsplit = s 1, t 1\npath_prefix = /\n"
     "target_latency_ms = 300\n",
     result_code::check_target_above_timeout},
    {"a part of a split without weight",
     "[service t]\ntimeout_ms = 200\n[route r]\nservice = s\nsplit = s 1, t 0\npath_prefix = /\n"
     "target_latency_ms = 300\n",
     result_code::ok},
    {"two attempts fit", "[route r]\nservice = s\npath_prefix = /\ntarget_latency_ms = 900\nmax_attempts = 2\n",
     result_code::ok},
    {"the last attempt would begin at the timeout",
     "[route r]\nservice = s\npath_prefix = /\ntarget_latency_ms = 500\nmax_attempts = 3\n",
     result_code::check_attempts_conflict},
    {"burst that fills in a minute", "[tenant t]\nkeys = k\nrate_per_second = 2\nburst = 120\n", result_code::ok},
    {"burst that takes longer", "[tenant t]\nkeys = k\nrate_per_second = 2\nburst = 121\n",
     result_code::check_quota_conflict},
    {"burst of a part of a request", "[tenant t]\nkeys = k\nrate_per_second = 2\nburst = 0.5\n",
     result_code::check_quota_conflict},
    {"rate without burst", "[tenant t]\nkeys = k\nrate_per_second = 2\n", result_code::ok},
};

// Guards against findings on either side of a bound.
BOOST_DATA_TEST_CASE(finds_contradictory_limits, limits_rows, row) {
    const check_report report =
        folder_check::run({{"a.ini", std::string("[service s]\ntimeout_ms = 1000\n") + row.text}});
    BOOST_TEST(name(report.code()) == name(row.code));
}

// Guards against routes that are called unreachable although a request can match them, beside longer and shorter
// prefixes, other methods and hosts.
BOOST_AUTO_TEST_CASE(reachable_routes_have_no_finding) {
    const std::string text = "[service s]\ntimeout_ms = 1000\n"
                             "[route root]\nservice = s\npath_prefix = /\n"
                             "[route a]\nservice = s\npath_prefix = /a\nmethods = GET\n"
                             "[route a-post]\nservice = s\npath_prefix = /a\nmethods = POST\n"
                             "[route ab]\nservice = s\npath_prefix = /a/b\nneeds_subpath = yes\n"
                             "[route host]\nservice = s\npath_prefix = /a\nhost = x.example\n";
    const check_report report = folder_check::run({{"a.ini", text}});
    BOOST_TEST(report.routes == 5U);
    for (const check_finding& finding : report.findings) {
        BOOST_TEST(false, to_string(finding));
    }
}

namespace {

/// Writes folders of few sections at random. Most values are valid, so that a part of the folders is.
class random_folder {
public:
    explicit random_folder(std::uint64_t seed) : m_random(seed) {}

    std::string text() {
        std::string result;
        for (int section = 0, count = number(1, 8); section < count; ++section) {
            result += this->section(section);
        }
        return "[service s0]\ntimeout_ms = 1000\n" + result;
    }

private:
    int number(int low, int high) {
        return absl::Uniform(absl::IntervalClosed, m_random, low, high);
    }

    std::string one_of(std::initializer_list<const char*> texts) {
        return texts.begin()[number(0, static_cast<int>(texts.size()) - 1)];
    }

    /// @return a rare value once in twelve times, else a usual one.
    std::string value(std::initializer_list<const char*> usual, std::initializer_list<const char*> rare) {
        return number(1, 12) == 1 ? one_of(rare) : one_of(usual);
    }

    std::string line(const char* key, const std::string& text) {
        return fmt::format("{} = {}\n", key, text);
    }

    std::string optional(const char* key, const std::string& text) {
        return number(0, 2) == 0 ? line(key, text) : "";
    }

    std::string section(int index) {
        switch (number(0, 4)) {
        case 0:
            return fmt::format("[service s{}]\n", index) + line("timeout_ms", value({"10", "700"}, {"9", "x", "-1"})) +
                   optional("queue_limit", value({"0", "4"}, {"10001"})) +
                   optional("cold_rate_per_second", value({"0", "2.5"}, {"-1", "nan", "1e9"}));
        case 1:
            return fmt::format("[route r{}]\n", index) + line("service", value({"s0"}, {"s9", "", "a b"})) +
                   line("path_prefix", value({"/a", "/b", "/c/d", "/e", "/f", "/g"}, {"a", "/a/", "/", "/%"})) +
                   optional("methods", value({"GET", "POST", "GET, HEAD"}, {"GET, GET", "get"})) +
                   optional("target_latency_ms", value({"5", "900", "2000"}, {"0", "3600001"})) +
                   optional("priority", value({"0", "1000"}, {"1001"})) +
                   optional("split", value({"s0 1"}, {"s0 0", "s9 1", "s0 1, s0 1"}));
        case 2:
            return "[share s0]\n" + line("v1", value({"1", "5"}, {"0", "1001"})) +
                   optional("v2", value({"0", "3"}, {"x"}));
        case 3:
            return fmt::format("[move m{}]\n", index) + line("service", value({"s0"}, {"s9"})) +
                   line("from", value({"v1"}, {"v2", ""})) + line("to", value({"v3"}, {"v1"})) +
                   line("deadline", value({"2031-01-01T00:00:00Z"}, {"soon", "1999-01-01T00:00:00Z"}));
        default:
            return fmt::format("[tenant t{}]\n", index) +
                   line("keys", value({"k1, k2", "k3", "k4", "k5", "k6"}, {"", "k1, k1", "k1,,k2"})) +
                   optional("priority", value({"0", "3"}, {"1001", "-1"})) +
                   optional("rate_per_second", value({"0", "1.5"}, {"-1", "x", "1e12"})) +
                   optional("burst", value({"0", "3"}, {"-2"}));
        }
    }

    std::mt19937_64 m_random;
};

/// @return true if a daemon applies the state, as it would arrive from the store.
bool daemon_accepts(intended_state state) {
    stamp_moves(nullptr, state, 1);
    const auto published = snapshot::create(1, absl::UnixEpoch(), "p", std::move(state));
    configuration_holder holder;
    try {
        return holder.offer(snapshot::decode(published->canonical_bytes(), published->hash())).outcome ==
               offer_outcome::applied;
    } catch (const error&) {
        return false;
    }
}

} // namespace

// Guards against a check that accepts what the daemons refuse, or the reverse: folders at random, of which a part is
// valid. A folder whose files cannot be read into a state never reaches a daemon.
BOOST_AUTO_TEST_CASE(check_and_daemon_agree_on_random_folders) {
    constexpr int folder_count = 3'000;
    int accepted = 0;
    int refused_by_daemon = 0;
    int unreadable = 0;
    for (int seed = 0; seed < folder_count; ++seed) {
        const std::string text = random_folder(static_cast<std::uint64_t>(seed)).text();
        const std::vector<config_file> files{{"a.ini", text}};
        const bool is_accepted = !has_errors(folder_check::run(files));
        std::vector<config_problem> problems;
        const merged_folder sections = folder_merger::merge(files, problems);
        intended_state state = state_builder(sections, problems).build();
        if (!problems.empty()) {
            ++unreadable;
            BOOST_TEST(!is_accepted, "seed " << seed << ": " << text);
            continue;
        }
        const bool does_daemon_accept = daemon_accepts(std::move(state));
        BOOST_TEST(is_accepted == does_daemon_accept, "seed " << seed << ": " << text);
        ++(does_daemon_accept ? accepted : refused_by_daemon);
    }
    // So that the test cannot pass with folders of one kind only.
    BOOST_TEST(accepted > folder_count / 20);
    BOOST_TEST(refused_by_daemon > folder_count / 20);
    BOOST_TEST(unreadable > folder_count / 20);
}

// Guards against a check that takes too long to run before each change: 2,200 services with routes and shares, and
// 10,000 tenants, in less than a second of CPU time, compared with another version.
BOOST_AUTO_TEST_CASE(checks_a_large_folder_in_a_second) {
    std::string text;
    for (int index = 0; index < 2'200; ++index) {
        text += fmt::format("[service s{0}]\ntimeout_ms = 3000\n[route r{0}]\nservice = s{0}\npath_prefix = /r/{0}\n"
                            "target_latency_ms = 500\nmax_attempts = 3\n[share s{0}]\nv1 = 1\n",
                            index);
    }
    std::vector<config_file> files{{"10-services.ini", std::move(text)}};
    constexpr int tenants_per_file = 2'000;
    for (int file = 0; file < 5; ++file) {
        std::string tenants;
        for (int index = 0; index < tenants_per_file; ++index) {
            const int number = file * tenants_per_file + index;
            tenants += fmt::format("[tenant t{0}]\nkeys = key-{0}\nrate_per_second = 10\nburst = 20\n", number);
        }
        files.push_back({fmt::format("2{}-tenants.ini", file), std::move(tenants)});
    }
    const intended_state base = state_builder::build_valid(files);
    const std::clock_t start = std::clock();
    const check_report report = folder_check::run(files, &base);
    const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    BOOST_TEST_MESSAGE("checked in " << seconds << " s");
    BOOST_TEST(report.tenants == 10'000U);
    BOOST_TEST(report.findings.empty());
    BOOST_TEST(seconds < 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
