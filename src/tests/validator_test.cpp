#include "config/validator.h"

#include "config/move_stamp.h"
#include "config/state_builder.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(validator_test)

const std::string base = "[service s]\n"        // 1
                         "timeout_ms = 3000\n"  // 2
                         "[route r]\n"          // 3
                         "service = s\n"        // 4
                         "path_prefix = /r\n"   // 5
                         "methods = POST,GET\n" // 6
                         "[share s]\n"          // 7
                         "1.4 = 10\n"           // 8
                         "1.3 = 90\n"           // 9
                         "[move m]\n"           // 10
                         "service = s\n"        // 11
                         "from = 1.4\n"         // 12
                         "to = 1.5\n"           // 13
                         "deadline = 2031-05-17T06:00:00+02:00\n";

/// @return the problems of a folder with @ref base as a.ini and @p later as b.ini, as `FILE:LINE CODE KEY;` items.
std::string problems_with(const std::string& later) {
    try {
        state_builder::build_valid({{"b.ini", later}, {"a.ini", base}});
    } catch (const config_error_list& list) {
        std::string result;
        for (const config_problem& problem : list.problems()) {
            result +=
                fmt::format("{}:{} {} {};", problem.file, problem.line, static_cast<int>(problem.code), problem.key);
        }
        return result;
    }
    return "";
}

struct folder_row {
    const char* name;
    std::string later;
    std::string expected;

    friend std::ostream& operator<<(std::ostream& out, const folder_row& row) {
        return out << row.name;
    }
};

const std::string long_name(65, 'n');

const folder_row folder_rows[] = {
    {"nothing more", "", ""},
    {"tenants", "[tenant t]\nkeys = k1, k2\nrate_per_second = 2.5\n[tenant u]\nkeys = k3\n", ""},
    {"tenant without keys", "[tenant t]\nburst = 1\n", "b.ini:1 1104 keys;"},
    {"empty key", "[tenant t]\nkeys = k1,\n", "b.ini:2 1105 keys;"},
    {"key of two tenants", "[tenant t]\nkeys = k1, k2\n[tenant u]\nkeys = k2\n", "b.ini:4 1114 keys;"},
    {"key twice", "[tenant t]\nkeys = k1, k1\n", "b.ini:2 1114 keys;"},
    {"quota not a number", "[tenant t]\nkeys = k1\nrate_per_second = nan\n", "b.ini:3 1105 rate_per_second;"},
    {"negative quota", "[tenant t]\nkeys = k1\nburst = -1\n", "b.ini:3 1105 burst;"},
    {"tenant priority over its range", "[tenant t]\nkeys = k1\npriority = 1001\n", "b.ini:3 1106 priority;"},
    {"override of one key", "[service s]\ntimeout_ms = 500\n", ""},
    {"shortest and longest timeout", "[service s]\ntimeout_ms = 10\n[route r]\ntimeout_ms = 3600000\n", ""},
    {"same prefix with other methods", "[route q]\nservice=s\npath_prefix=/r\nmethods=PUT, DELETE\n", ""},
    {"unknown section", "[cluster s]\nx = 1\n", "b.ini:1 1101 ;"},
    {"section without a name", "[service]\n", "b.ini:1 1111 ;"},
    {"section with two names", "[service a b]\n", "b.ini:1 1111 ;"},
    {"bad name", "[service a/b]\n", "b.ini:1 1111 ;"},
    {"name starts with a dot", "[service .a]\n", "b.ini:1 1111 ;"},
    {"name too long", "[service " + long_name + "]\n", "b.ini:1 1111 ;"},
    {"unknown key", "[service s]\ntimeout = 3s\n", "b.ini:2 1102 timeout;"},
    {"empty section", "[service t]\n", "b.ini:1 1104 timeout_ms;"},
    {"route without anything", "[route q]\n", "b.ini:1 1104 service;b.ini:1 1104 path_prefix;"},
    {"two routes without a prefix", "[route p]\nservice=s\n[route q]\nservice=s\n",
     "b.ini:1 1104 path_prefix;b.ini:3 1104 path_prefix;"},
    {"move without anything", "[move n]\n",
     "b.ini:1 1104 service;b.ini:1 1104 from;b.ini:1 1104 to;b.ini:1 1104 deadline;"},
    {"unit in a number", "[service s]\ntimeout_ms = 3s\n", "b.ini:2 1105 timeout_ms;"},
    {"fraction", "[service s]\nqueue_limit = 1.5\n", "b.ini:2 1105 queue_limit;"},
    {"comment after a value", "[service s]\nqueue_limit = 1 ; one\n", "b.ini:2 1105 queue_limit;"},
    {"timeout too short", "[service s]\ntimeout_ms = 9\n", "b.ini:2 1106 timeout_ms;"},
    {"timeout too long", "[service s]\ntimeout_ms = 3600001\n", "b.ini:2 1106 timeout_ms;"},
    {"timeout 0", "[route r]\ntimeout_ms = 0\n", "b.ini:2 1106 timeout_ms;"},
    {"negative timeout", "[route r]\ntimeout_ms = -1\n", "b.ini:2 1106 timeout_ms;"},
    {"number beyond every type", "[service s]\nqueue_limit = 99999999999999999999\n", "b.ini:2 1106 queue_limit;"},
    {"negative queue", "[service s]\nqueue_limit = -1\n", "b.ini:2 1106 queue_limit;"},
    {"boolean in another form", "[route r]\nidempotent = true\n", "b.ini:2 1105 idempotent;"},
    {"unknown method", "[route r]\nmethods = GET,FETCH\n", "b.ini:2 1105 methods;"},
    {"method in lower case", "[route r]\nmethods = get\n", "b.ini:2 1105 methods;"},
    {"method twice", "[route r]\nmethods = GET,GET\n", "b.ini:2 1105 methods;"},
    {"empty list of methods", "[route r]\nmethods =\n", "b.ini:2 1105 methods;"},
    {"relative path", "[route r]\npath_prefix = r\n", "b.ini:2 1105 path_prefix;"},
    {"path with a final slash", "[route r]\npath_prefix = /r/\n", "b.ini:2 1105 path_prefix;"},
    {"path with an empty segment", "[route r]\npath_prefix = /a//b\n", "b.ini:2 1105 path_prefix;"},
    {"path with dots", "[route r]\npath_prefix = /a/../b\n", "b.ini:2 1105 path_prefix;"},
    {"path with a query", "[route r]\npath_prefix = /a?b\n", "b.ini:2 1105 path_prefix;"},
    {"path with an escape", "[route r]\npath_prefix = /a%2fb\n", "b.ini:2 1105 path_prefix;"},
    {"route to an unknown service", "[route r]\nservice = t\n", "b.ini:2 1107 service;"},
    {"share of an unknown service", "[share t]\n1 = 1\n", "b.ini:1 1107 ;"},
    {"move of an unknown service", "[move m]\nservice = t\n", "b.ini:2 1107 service;"},
    {"ambiguous route", "[route r2]\nservice=s\npath_prefix=/r\nmethods=GET\n", "b.ini:3 1108 path_prefix;"},
    {"ambiguous with a route for all methods", "[route r2]\nservice=s\npath_prefix=/r\n", "b.ini:3 1108 path_prefix;"},
    {"share without weight", "[share s]\n1.4 = 0\n1.3 = 0\n[move m]\nfrom = 1.2\n",
     "a.ini:11 1113 service;b.ini:1 1112 ;"},
    {"empty share", "[service t]\ntimeout_ms=10\n[share t]\n", "b.ini:3 1112 ;"},
    {"weight over its range", "[share s]\n1.4 = 1001\n", "b.ini:2 1106 1.4;"},
    {"weight not a number", "[share s]\n1.4 = half\n", "b.ini:2 1105 1.4;"},
    {"bad version name", "[share s]\nv/1 = 5\n", "b.ini:2 1111 v/1;"},
    {"two moves of a service", "[move n]\nservice=s\nfrom=1.3\nto=1.6\ndeadline=2031-05-17T06:00:00Z\n",
     "b.ini:2 1113 service;"},
    {"move to the same version", "[move m]\nto = 1.4\n", "b.ini:2 1113 to;"},
    {"move to a version with a fixed weight", "[share s]\n1.5 = 1\n", "a.ini:11 1113 service;"},
    {"move from a version without weight", "[move m]\nfrom = 1.2\n", "a.ini:11 1113 service;"},
    {"deadline without a zone", "[move m]\ndeadline = 2031-05-17T06:00:00\n", "b.ini:2 1105 deadline;"},
    {"deadline without a time", "[move m]\ndeadline = 2031-05-17\n", "b.ini:2 1105 deadline;"},
    {"deadline on a day that does not exist", "[move m]\ndeadline = 2031-02-30T06:00:00Z\n", "b.ini:2 1105 deadline;"},
    {"infinite deadline", "[move m]\ndeadline = infinite-future\n", "b.ini:2 1105 deadline;"},
    {"deadline too early", "[move m]\ndeadline = 1999-12-31T23:59:59Z\n", "b.ini:2 1106 deadline;"},
    {"problems of several kinds", "[service s]\nx\ntimeout_ms = a\ncolour = red\n[rout r]\n",
     "b.ini:2 1100 ;b.ini:3 1105 timeout_ms;b.ini:4 1102 colour;b.ini:5 1101 ;"},
};

// Guards against publishing an invalid folder, and against reporting only its first problem.
BOOST_DATA_TEST_CASE(reports_every_problem_of_a_folder, folder_rows, row) {
    BOOST_TEST(problems_with(row.later) == row.expected);
}

// Guards against merging in an order other than that of the file names, and against replacing whole sections instead of
// single keys.
BOOST_AUTO_TEST_CASE(later_file_overrides_single_keys) {
    const intended_state state = state_builder::build_valid(
        {{"b.ini", "[service s]\nqueue_limit = 3\n[route r]\nmethods = GET\n"}, {"a.ini", base}});
    BOOST_TEST((state.services.at("s") == service{"s", absl::Seconds(3), 3, {"b.ini", 1}}));
    BOOST_TEST((state.routes.at("r") ==
                route{"r", "s", "/r", {"GET"}, route_kind::by_method, absl::ZeroDuration(), {"b.ini", 3}}));
    BOOST_TEST((state.shares.at("s") == share{"s", {{"1.3", 90}, {"1.4", 10}}, {"a.ini", 7}}));
    BOOST_TEST((state.moves.at("m").deadline == absl::FromUnixSeconds(1'936'764'000 - 7200)));
}

intended_state base_state() {
    return state_builder::build_valid({{"a.ini", base}});
}

struct state_row {
    const char* name;
    void (*change)(intended_state&);
    result_code expected;

    friend std::ostream& operator<<(std::ostream& out, const state_row& row) {
        return out << row.name;
    }
};

const state_row state_rows[] = {
    {"service under another name", [](intended_state& s) { s.services["s"].name = "t"; }, result_code::config_bad_name},
    {"file name with a line end", [](intended_state& s) { s.services["s"].origin.file = "a\nb"; },
     result_code::config_bad_name},
    {"queue over its range", [](intended_state& s) { s.services["s"].queue_limit = 10'001; },
     result_code::config_out_of_range},
    {"service removed", [](intended_state& s) { s.services.clear(); }, result_code::config_unknown_service},
    {"methods out of order",
     [](intended_state& s) {
         s.routes["r"].methods = {"POST", "GET"};
     },
     result_code::config_bad_value},
    {"infinite deadline", [](intended_state& s) { s.moves["m"].deadline = absl::InfiniteFuture(); },
     result_code::config_out_of_range},
    {"too many versions",
     [](intended_state& s) {
         for (int i = 0; i < 65; ++i) {
             s.shares["s"].weight_by_version[std::to_string(i)] = 1;
         }
     },
     result_code::config_too_large},
};

// Guards against a daemon that applies a decoded state that no valid folder can produce.
BOOST_DATA_TEST_CASE(refuses_bad_states, state_rows, row) {
    intended_state state = base_state();
    BOOST_CHECK_NO_THROW(validator::require_valid(state));
    row.change(state);
    BOOST_CHECK_EXCEPTION(validator::require_valid(state), config_error_list,
                          [&](const config_error_list& list) { return list.code() == row.expected; });
}

struct stamp_row {
    const char* name;
    void (*change)(move&);
    std::uint64_t expected;

    friend std::ostream& operator<<(std::ostream& out, const stamp_row& row) {
        return out << row.name;
    }
};

const stamp_row stamp_rows[] = {
    {"unchanged", [](move&) {}, 5},
    {"another line",
     [](move& m) {
         m.origin = {"z.ini", 99};
     },
     5},
    {"another deadline", [](move& m) { m.deadline += absl::Milliseconds(1); }, 9},
    {"another target", [](move& m) { m.to_version = "1.6"; }, 9},
    {"another source", [](move& m) { m.from_version = "1.3"; }, 9},
    {"another service", [](move& m) { m.service = "t"; }, 9},
};

// Guards against a move that restarts with each publish, and against an edited move that does not restart.
BOOST_DATA_TEST_CASE(edited_move_is_a_new_move, stamp_rows, row) {
    intended_state before = base_state();
    stamp_moves(nullptr, before, 5);
    BOOST_TEST(before.moves["m"].introduced_in == 5);
    intended_state after = base_state();
    row.change(after.moves["m"]);
    stamp_moves(&before, after, 9);
    BOOST_TEST(after.moves["m"].introduced_in == row.expected);
}

BOOST_AUTO_TEST_SUITE_END()
