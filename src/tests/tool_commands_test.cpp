#include "tool/tool_commands.h"

#include "../../bench/store_stand_in.h"
#include "../../bench/store_stand_in_state.h"
#include "config/state_builder.h"
#include "daemon/control_server.h"
#include "tool/folder_publisher.h"

#include <absl/time/clock.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

using namespace amaranthladder;

namespace {

const char* const first_file = "[service shop]\ntimeout_ms = 500\nqueue_limit = 5\n"
                               "[route orders]\nservice = shop\npath_prefix = /orders\n";
const char* const second_file = "[service stock]\ntimeout_ms = 100\n";

/// A folder with one file, a store stand-in and the tool's output.
struct fixture {
    fixture() {
        std::string name = (std::filesystem::temp_directory_path() / "amaranthladder-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        folder = name;
        write("10.ini", first_file);
    }
    ~fixture() {
        std::filesystem::remove_all(folder);
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    void write(const std::string& name, const std::string& text) const {
        std::ofstream(folder / name) << text;
    }

    result_code run(
        std::vector<std::string> arguments, const std::function<bool()>& is_stopped = [] { return true; }) {
        arguments.insert(arguments.end(), {"--store", to_string(server.address())});
        out.str("");
        errors.str("");
        return tool_commands(tool_options::parse(arguments), out, errors).run(is_stopped);
    }

    std::filesystem::path folder;
    store_stand_in_state state;
    store_stand_in server{state, {"127.0.0.1", 0}, 8};
    std::ostringstream out;
    std::ostringstream errors;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tool_commands_test, fixture)

// Guards against publishing an invalid folder, publishing an unchanged folder, and publishing on top of a version that
// the operator has not seen.
BOOST_AUTO_TEST_CASE(apply_publishes_changes_only) {
    BOOST_TEST((run({"apply", folder.string()}) == result_code::ok));
    BOOST_TEST(out.str().find("added route orders") != std::string::npos);
    BOOST_TEST((run({"apply", folder.string()}) == result_code::publish_unchanged));
    write("20.ini", "[route broken]\nservice = missing\npath_prefix = /b\n");
    const std::uint64_t writes = state.counts().put;
    BOOST_TEST((run({"apply", folder.string()}) == result_code::config_unknown_service));
    BOOST_TEST(errors.str().find("20.ini:2") != std::string::npos);
    BOOST_TEST((run({"check", folder.string()}) == result_code::config_unknown_service));
    BOOST_TEST(state.counts().put == writes);
    write("20.ini", second_file);
    BOOST_TEST((run({"apply", folder.string(), "--expect-version", "7"}) == result_code::publish_raced));
    BOOST_TEST((run({"apply", folder.string(), "--expect-version", "1", "--json"}) == result_code::ok));
    BOOST_TEST(out.str().find(R"("version":2)") != std::string::npos);
}

// Guards against findings that scripts cannot read, an exit code of 0 with findings, a comparison with the wrong
// version, and a key in what the check prints.
BOOST_AUTO_TEST_CASE(check_reports_findings_and_differences) {
    BOOST_TEST((run({"check", folder.string()}) == result_code::ok));
    BOOST_TEST(out.str() == "1 services, 1 routes, 0 shares, 0 moves, 0 tenants, 0 findings\n");
    BOOST_TEST((run({"check", folder.string(), "--against", "running"}) == result_code::check_difference));
    BOOST_TEST(out.str().find("difference: 10.ini:4: 1136 check-difference: [route orders]: added") !=
                   std::string::npos,
               out.str());
    BOOST_TEST((run({"apply", folder.string()}) == result_code::ok));
    BOOST_TEST((run({"check", folder.string(), "--against", "running"}) == result_code::ok));
    const auto content = head_reader(state).read(absl::Seconds(5));
    const std::filesystem::path saved = folder / "saved.snapshot";
    std::ofstream(saved) << content->bytes;
    BOOST_TEST((run({"check", folder.string(), "--against", saved.string()}) == result_code::ok));
    BOOST_TEST((run({"check", folder.string(), "--against", folder.string()}) == result_code::ok));
    BOOST_TEST((run({"check", folder.string(), "--against", "/nonexistent"}) == result_code::file_unreadable));
    write("20.ini", "[tenant acme]\nkeys = k-77f0, k-77f0\nburst = 3\n");
    BOOST_TEST((run({"check", folder.string(), "--against", saved.string(), "--format", "json"}) ==
                result_code::config_shared_key));
    const std::string json = out.str();
    for (const char* part : {R"("code":1114)", R"("severity":"error")", R"("severity":"warning")",
                             R"("severity":"difference")", R"("file":"20.ini")", R"("line":2)", R"("fix":"give one)"}) {
        BOOST_TEST(json.find(part) != std::string::npos, part << " is not in " << json);
    }
    BOOST_TEST(json.find("k-77f0") == std::string::npos);
    store_faults faults;
    faults.is_down = true;
    state.set_faults(faults);
    BOOST_TEST((run({"check", folder.string(), "--against", "running", "--deadline", "300ms"}) ==
                result_code::store_unavailable));
}

// An unrelated edit must not restart a move.
BOOST_AUTO_TEST_CASE(moves_keep_introduction_version) {
    std::mt19937_64 random(1);
    folder_publisher publisher(state, "op");
    const std::string move_file = "[move m]\nservice = shop\nfrom = v1\nto = v2\ndeadline = 2030-01-01T00:00:00Z\n";
    const auto apply = [&](const std::string& text) {
        auto next = state_builder::build_valid({{"10.ini", first_file}, {"20.ini", text}});
        return publisher.apply(next, std::nullopt, absl::Seconds(5), random);
    };
    BOOST_TEST((apply(move_file).code == result_code::ok));
    BOOST_TEST((apply(move_file + second_file).code == result_code::ok));
    const auto content = head_reader(state).read(absl::Seconds(5));
    const auto published = snapshot::decode(content->bytes);
    BOOST_TEST(published->version() == 2U);
    BOOST_TEST(published->state().moves.at("m").introduced_in == 1U);
}

// An outage before the publish must be reported as unavailable: nothing was published.
BOOST_AUTO_TEST_CASE(reports_store_outage) {
    store_faults faults;
    faults.is_down = true;
    state.set_faults(faults);
    BOOST_TEST((run({"apply", folder.string(), "--deadline", "300ms"}) == result_code::store_unavailable));
    BOOST_TEST((run({"status", "--daemon", "127.0.0.1:1", "--deadline", "300ms"}) == result_code::peer_unreachable));
}

// `watch` must apply every edit, and continue after an invalid edit and after an outage.
BOOST_AUTO_TEST_CASE(watch_applies_each_change) {
    const auto version = [this] {
        const auto head = state.get(config_head_key, absl::Seconds(1));
        return head.is_ok() ? config_head::parse(head.value->value).version : 0;
    };
    const auto wait_for = [&version](std::uint64_t wanted) {
        const absl::Time end = absl::Now() + absl::Seconds(30);
        while (version() < wanted && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(10));
        }
        BOOST_TEST(version() == wanted);
    };
    store_faults faults;
    faults.is_down = true;
    state.set_faults(faults);
    std::atomic<bool> is_stopped = false;
    std::thread watch_thread([this, &is_stopped] {
        run({"watch", folder.string(), "--poll", "20ms", "--deadline", "200ms"},
            [&is_stopped] { return is_stopped.load(); });
    });
    absl::SleepFor(absl::Milliseconds(400));
    state.set_faults({});
    wait_for(1);
    write("20.ini", "[broken");
    absl::SleepFor(absl::Milliseconds(100));
    write("20.ini", second_file);
    wait_for(2);
    std::filesystem::remove(folder / "20.ini");
    wait_for(3);
    is_stopped = true;
    watch_thread.join();
}

// Queries must reach the daemon unaltered, and its responses must be printed.
BOOST_AUTO_TEST_CASE(sends_queries_to_daemon) {
    control_handlers handlers;
    handlers.status = [] { return R"({"version": 3, "members": [{"name": "a"}]})"; };
    handlers.explain_request = [](const std::string& request) { return "{\"request\": \"" + request + "\"}"; };
    const control_server daemon({"127.0.0.1", 0}, handlers);
    const std::string address = to_string(daemon.address());
    BOOST_TEST((run({"status", "--daemon", address}) == result_code::ok));
    BOOST_TEST(out.str() == "version: 3\nmembers.0.name: a\n");
    BOOST_TEST((run({"explain", "--request", "GET /a b?c&d", "--daemon", address}) == result_code::ok));
    BOOST_TEST(out.str() == "request: GET /a b?c&d\n");
}

BOOST_AUTO_TEST_SUITE_END()
