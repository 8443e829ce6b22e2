#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include "common/error.h"
#include "config/folder_merger.h"
#include "config/key_digest.h"
#include "config/snapshot.h"
#include "config/state_builder.h"
#include "platform/intent.h"

#include <absl/time/clock.h>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(tenant_daemon_test)

namespace {

const std::string key = "k-58d1e0c39b7f";
const std::string second_key = "k-0c44aa91ffe2";
const std::string wrong_key = "k-58d1e0c39b7e";

std::string configuration(int version, const std::vector<std::string>& keys) {
    std::string list;
    for (const std::string& held : keys) {
        list += fmt::format("{}\"{}\"", list.empty() ? "" : ",", held);
    }
    const auto route = [](const char* name, bool allows_anonymous) {
        return fmt::format(R"({{"name":"{0}","authority":"","prefix":"/{0}/","kind":"safe","service":"tienda",)"
                           R"("target_latency_ms":1000,"priority":1,"max_attempts":2,"allow_anonymous":{1}}})",
                           name, allows_anonymous);
    };
    return fmt::format(R"({{"version":"{:08x}","routes":[{},{}],"services":[{{"name":"tienda"}}],)"
                       R"("tenants":[{{"name":"acme","api_keys":[{}],"priority":1}}]}})",
                       version, route("reads", true), route("orders", false), list);
}

std::shared_ptr<const snapshot> read_configuration(const std::string& text) {
    return std::get<std::shared_ptr<const snapshot>>(platform::make_intent_format().decode({"op/config", text, 1}));
}

int status_of(const platform_host& host, const std::string& path, const std::string& held_key) {
    const auto answer = host.client().Get(path, httplib::Headers{{"Authorization", "Token " + held_key}});
    return answer ? answer->status : 0;
}

bool wait_for_status(const platform_host& host, const std::string& held_key, int status) {
    const absl::Time until = absl::Now() + absl::Seconds(10);
    while (status_of(host, "/orders/x", held_key) != status) {
        if (absl::Now() >= until) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(10));
    }
    return true;
}

std::string page(const platform_host& host, const std::string& path) {
    const endpoint address = host.control_address();
    const auto answer = httplib::Client(address.address, address.port).Get(path);
    return answer ? answer->body : "";
}

void check_holds_no_key(const std::string& text) {
    for (const std::string& held : {key, second_key, wrong_key}) {
        BOOST_TEST(text.find(held) == std::string::npos, held << " is in " << text);
    }
}

} // namespace

// Guards against a key, or the digest of a wrong one, in anything that a daemon process writes or tells: its log, its
// status, its metrics, and what it explains. The configuration comes from the platform's store, with a key added, one
// removed and a wrong one tried.
BOOST_AUTO_TEST_CASE(daemon_tells_no_key) {
    platform_store store;
    store.put("op/config", configuration(11, {key}));
    platform_host host(store, 1);
    BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(host.announce(1) == 200);
    BOOST_REQUIRE(host.wait_for_status("/reads/x", 200));
    BOOST_TEST(status_of(host, "/orders/x", key) == 200);
    BOOST_TEST(status_of(host, "/orders/x", second_key) == 401);
    BOOST_TEST(status_of(host, "/reads/x", wrong_key) == 401);
    BOOST_TEST(host.client().Get("/orders/x")->status == 401);
    store.put("op/config", configuration(12, {key, second_key}));
    BOOST_TEST(wait_for_status(host, second_key, 200));
    store.put("op/config", configuration(13, {second_key}));
    BOOST_TEST(wait_for_status(host, key, 401));
    // A version with the same key twice is refused as a whole.
    store.put("op/config", configuration(14, {key, key}));
    BOOST_TEST(host.wait_for_log(fmt::format("{}", name(result_code::config_shared_key))));
    BOOST_TEST(status_of(host, "/orders/x", second_key) == 200);
    const std::string log = host.log();
    BOOST_TEST(log.find("key-refused") != std::string::npos);
    check_holds_no_key(log);
    BOOST_TEST(log.find(key_digest(wrong_key)) == std::string::npos);
    for (const char* path :
         {"/v1/status", "/metrics", "/v1/explain?route=orders", "/v1/explain?request=GET%20/orders/x"}) {
        const std::string text = page(host, path);
        BOOST_TEST(!text.empty(), path);
        check_holds_no_key(text);
    }
    BOOST_TEST(page(host, "/metrics").find("refusals_unknown_key_total") != std::string::npos);
}

// Guards against keys in what daemons send each other and keep: the snapshot, from both sources of a configuration.
BOOST_AUTO_TEST_CASE(snapshot_holds_no_key) {
    const auto from_platform = read_configuration(configuration(11, {key, second_key}));
    check_holds_no_key(from_platform->canonical_bytes());
    BOOST_TEST(from_platform->canonical_bytes().find(key_digest(key)) != std::string::npos);
    const config_file file{
        "a.ini", fmt::format("[service s]\ntimeout_ms = 1000\n[tenant acme]\nkeys = {}, {}\n", key, second_key)};
    const auto state = state_builder::build_valid({file});
    const auto from_folder = snapshot::create(1, absl::UnixEpoch(), "x", state);
    check_holds_no_key(from_folder->canonical_bytes());
    BOOST_TEST(from_folder->canonical_bytes().find(key_digest(key)) != std::string::npos);
}

// Guards against messages about a faulty configuration that quote the keys beside the fault.
BOOST_AUTO_TEST_CASE(problems_quote_no_key) {
    const std::string folders[] = {
        fmt::format("[tenant a]\nkeys = {0}\n[tenant b]\nkeys = {0}\n", key),
        fmt::format("[tenant a]\nkeys = {}, ,\n", key),
        fmt::format("[tenant a]\nkeys {}\n", key),
        fmt::format("[tenant a]\nkeys = {0}\nkeys = {1}\n", key, second_key),
        fmt::format("[tenant a]\nkeys = {}\npriority = x\n{}\n", key, second_key),
    };
    for (const std::string& text : folders) {
        try {
            state_builder::build_valid({{"a.ini", text}});
            BOOST_TEST(false, "accepted: " << text);
        } catch (const std::exception& problem) {
            check_holds_no_key(problem.what());
        }
    }
    for (const std::string& text :
         {configuration(1, {key, ""}), configuration(1, {key}) + "x", configuration(1, {key + "\\q"})}) {
        try {
            read_configuration(text);
            BOOST_TEST(false, "accepted: " << text);
        } catch (const std::exception& problem) {
            check_holds_no_key(problem.what());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
