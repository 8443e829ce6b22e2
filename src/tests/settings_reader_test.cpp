#include "settings/settings_reader.h"

#include "settings/daemon_settings.h"
#include "settings/quantities.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(settings_reader_test)

const std::string required = "[daemon]\n"                  // 1
                             "mesh = litoral\n"            // 2
                             "data_center = rosario-a\n"   // 3
                             "worker = tienda-1\n"         // 4
                             "[listen]\n"                  // 5
                             "requests = 127.0.0.1:8001\n" // 6
                             "control = 0.0.0.0:8002\n"    // 7
                             "peers = 127.0.0.1:8003\n"    // 8
                             "[store]\n"                   // 9
                             "address = 127.0.0.1:8004\n"; // 10

/// @return the problems, each as `LINE CODE SECTION.KEY;`.
std::string list_problems(const std::string& text) {
    try {
        read_daemon_settings("d.ini", text);
    } catch (const config_error_list& list) {
        std::string result;
        for (const config_problem& problem : list.problems()) {
            BOOST_TEST(problem.file == "d.ini");
            result +=
                fmt::format("{} {} {}.{};", problem.line, static_cast<int>(problem.code), problem.section, problem.key);
        }
        return result;
    }
    return "";
}

struct settings_case {
    const char* name;
    std::string appended; ///< Appended to the required settings, which end in [store].
    std::string expected;

    friend std::ostream& operator<<(std::ostream& out, const settings_case& row) {
        return out << row.name;
    }
};

const settings_case settings_cases[] = {
    {"required settings alone", "", ""},
    {"lowest and highest value", "[requests]\nmax_connections=1\nretry_budget_percent=9\n", ""},
    {"unknown section", "[stores]\nx=1\n", "11 1001 stores.;"},
    {"unknown key", "colour = red\n", "11 1001 store.colour;"},
    {"key twice", "address = 127.0.0.1:1\n", "11 1003 store.address;"},
    {"section twice", "[store]\n", "11 1003 store.;"},
    {"no value", "lease\n", "11 1007 store.;"},
    {"unit missing", "lease = 10\n", "11 1005 store.lease;"},
    {"unit of a size for a duration", "lease = 10KiB\n", "11 1005 store.lease;"},
    {"unit of a duration for a size", "[requests]\nbody_buffer_bytes = 1s\n", "12 1005 requests.body_buffer_bytes;"},
    {"space before the unit", "lease = 10 s\n", "11 1005 store.lease;"},
    {"unit in upper case", "lease = 10S\n", "11 1005 store.lease;"},
    {"fraction", "lease = 1.5s\n", "11 1005 store.lease;"},
    {"no number", "lease = long\n", "11 1004 store.lease;"},
    {"empty duration", "lease =\n", "11 1004 store.lease;"},
    {"duration too short", "call_timeout = 9ms\n", "11 1006 store.call_timeout;"},
    {"duration too long", "call_timeout = 1h\n", "11 1006 store.call_timeout;"},
    {"negative duration", "call_timeout = -1s\n", "11 1006 store.call_timeout;"},
    {"duration exceeds 64 bits", "call_timeout = 99999999999999999999s\n", "11 1006 store.call_timeout;"},
    {"duration in milliseconds exceeds 64 bits", "call_timeout = 9223372036854775807h\n",
     "11 1006 store.call_timeout;"},
    {"integer with a unit", "[requests]\nmax_connections = 5B\n", "12 1004 requests.max_connections;"},
    {"integer too large", "[requests]\nretry_budget_percent = 10\n", "12 1006 requests.retry_budget_percent;"},
    {"unknown level", "[requests]\n[log]\nlevel = loud\n", "13 1004 log.level;"},
    {"host name instead of an IP address", "[peers]\nseeds = localhost:1\n", "12 1004 peers.seeds;"},
    {"list with an empty item", "[peers]\nseeds = 127.0.0.1:1,,127.0.0.1:2\n", "12 1004 peers.seeds;"},
    {"seed with port 0", "[peers]\nseeds = 127.0.0.1:0\n", "12 1006 peers.seeds;"},
    {"probe timeout as long as the interval", "[peers]\nprobe_timeout = 1s\n", "0 1010 peers.probe_timeout;"},
    {"connect timeout longer than first byte timeout", "[requests]\nfirst_byte_timeout = 100ms\n",
     "0 1010 requests.connect_timeout;"},
    {"lease shorter than a call", "call_timeout=10s\nlease=10s\n", "0 1010 store.call_timeout;"},
    {"several problems", "x=1\nlease=1\n[peers]\nseeds=a\n",
     "11 1001 store.x;12 1005 store.lease;14 1004 peers.seeds;"},
};

// A misread or ignored setting would let the daemon start with other values than the operator wrote.
BOOST_DATA_TEST_CASE(reports_all_problems, settings_cases, row) {
    BOOST_TEST(list_problems(required + row.appended) == row.expected);
}

BOOST_AUTO_TEST_CASE(reports_missing_settings) {
    BOOST_TEST(list_problems("") == "0 1002 daemon.mesh;0 1002 daemon.data_center;0 1002 daemon.worker;"
                                    "0 1002 listen.requests;0 1002 listen.control;0 1002 listen.peers;"
                                    "0 1002 store.address;");
}

struct listen_case {
    const char* name;
    const char* requests;
    const char* control;
    const char* expected;

    friend std::ostream& operator<<(std::ostream& out, const listen_case& row) {
        return out << row.name;
    }
};

const listen_case listen_cases[] = {
    {"free ports", "127.0.0.1:0", "127.0.0.1:0", ""},
    {"IPv6", "[::1]:80", "[::]:81", ""},
    {"same port twice", "127.0.0.1:80", "127.0.0.1:80", "0 1010 listen.control;"},
    {"wildcard address", "0.0.0.0:80", "127.0.0.1:81", "2 1004 listen.requests;"},
    {"wildcard address in IPv6", "[0:0::0]:80", "127.0.0.1:81", "2 1004 listen.requests;"},
};

// A daemon must not announce an address that other hosts cannot reach.
BOOST_DATA_TEST_CASE(validates_listen_addresses, listen_cases, row) {
    const std::string text =
        fmt::format("[listen]\nrequests={}\ncontrol={}\npeers=127.0.0.1:9\n[daemon]\nmesh=m\ndata_center=d\nworker=w\n"
                    "[store]\naddress=127.0.0.1:1\n",
                    row.requests, row.control);
    BOOST_TEST(list_problems(text) == row.expected);
}

// The message must state where the fault is and which values are allowed.
BOOST_AUTO_TEST_CASE(error_message_contains_location_and_range) {
    BOOST_CHECK_EXCEPTION(read_daemon_settings("d.ini", required + "lease = 1ms\n"), error, [](const error& problem) {
        return std::string(problem.what())
            .ends_with("\nd.ini:11: 1006 setting-out-of-range: [store] lease: '1ms'; "
                       "allowed: duration (ms, s, m, h), 1s to 10m");
    });
}

// Guards against a daemon that does not start because the platform does not state the speed of the host's link, and
// against speeds that make no sense.
BOOST_AUTO_TEST_CASE(reads_numbers_with_a_fraction) {
    const auto link_mbps = [](const std::string& text) {
        return read_daemon_settings("d.ini", required + "[host]\nlink_mbps = " + text + "\n").host.link_mbps;
    };
    BOOST_TEST(link_mbps("12.5") == 12.5);
    BOOST_TEST(link_mbps("10") == 10);
    BOOST_TEST(link_mbps("") == 0);
    for (const char* const text : {"-1", "fast", "nan", "inf", "1e9", "10 Mbit"}) {
        BOOST_TEST(!list_problems(required + "[host]\nlink_mbps = " + text + "\n").empty(), text);
    }
}

std::string non_default_value(const setting_row& row) {
    switch (row.type) {
    case setting_type::duration:
        return format_duration(parse_duration(row.default_text) + absl::Milliseconds(1));
    case setting_type::size:
        return format_size(parse_size(row.default_text) + 1);
    case setting_type::integer:
        return fmt::format("{}", parse_integer(row.default_text) - 1);
    case setting_type::decimal:
        return fmt::format("{}", parse_decimal(row.default_text) + 0.5);
    case setting_type::log_level:
        return "warning";
    case setting_type::name:
    case setting_type::text:
        return "other";
    default:
        return "127.0.0.1:9";
    }
}

std::string settings_with(const setting_row& changed) {
    std::string result;
    for (const setting_row& row : daemon_settings_table()) {
        if (result.find(fmt::format("[{}]\n", row.section)) == std::string::npos) {
            result += fmt::format("[{}]\n", row.section);
        }
        const bool is_changed = &row == &changed;
        if (row.is_required && !is_changed) {
            result += fmt::format("{} = {}\n", row.key,
                                  row.type == setting_type::name ? "n" : fmt::format("127.0.0.1:{}", row.key.size()));
        } else if (is_changed) {
            result += fmt::format("{} = {}\n", row.key, non_default_value(row));
        }
    }
    return result;
}

// Guards against a setting that is validated and documented but never copied to daemon_settings.
BOOST_AUTO_TEST_CASE(every_setting_is_applied) {
    const setting_row none{};
    const daemon_settings defaults = read_daemon_settings("d.ini", settings_with(none));
    for (const setting_row& row : daemon_settings_table()) {
        BOOST_TEST_CONTEXT(row.section << "." << row.key) {
            const std::string text = settings_with(row);
            BOOST_CHECK(!(read_daemon_settings("d.ini", text) == defaults));
        }
    }
}

// Guards against defaults that the reader rejects and against formatted settings that are not a valid settings file.
BOOST_AUTO_TEST_CASE(formatted_settings_round_trip) {
    const settings_reader reader(daemon_settings_table());
    const std::string text = required + "lease = 7s\n[log]\nfile = a;b # c\n";
    const std::string formatted = reader.read("d.ini", text).format();
    BOOST_TEST(reader.read("p.ini", formatted).format() == formatted);
    BOOST_CHECK(read_daemon_settings("p.ini", formatted) == read_daemon_settings("d.ini", text));
    BOOST_TEST(formatted.find("\nlease = 7s\n") != std::string::npos);
    BOOST_TEST(format_daemon_settings("").find("\n# mesh = ...\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(formats_with_largest_unit) {
    for (const std::string text : {"0ms", "1ms", "1500ms", "3s", "90s", "2m", "25h"}) {
        BOOST_TEST(format_duration(parse_duration(text)) == text);
    }
    for (const std::string text : {"0B", "1200B", "64KiB", "16MiB", "1024MiB"}) {
        BOOST_TEST(format_size(parse_size(text)) == text);
    }
}

BOOST_AUTO_TEST_CASE(reports_missing_file) {
    BOOST_CHECK_EXCEPTION(read_daemon_settings("no/such/file.ini"), config_error_list,
                          [](const error& problem) { return problem.code() == result_code::file_unreadable; });
}

BOOST_AUTO_TEST_SUITE_END()
