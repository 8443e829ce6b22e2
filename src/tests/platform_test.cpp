#include "common/error.h"
#include "config/key_digest.h"
#include "platform/control_calls.h"
#include "platform/intent.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <variant>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(platform_test)

namespace {

const std::string configuration = R"({"version":"0000000c","routes":[
  {"name":"r-1","authority":"ficu95.example","prefix":"/pufi791/","kind":"unsafe","timeout_ms":1500,
   "target_latency_ms":500,"priority":1,"service":"huvo11a","max_attempts":2,"allow_anonymous":true},
  {"name":"r-2","authority":"ficu95.example","prefix":"/lohu930/","kind":"safe","timeout_ms":1200,
   "target_latency_ms":400,"priority":2,"backends":[{"service":"huvo11a","weight":90},
   {"service":"wuno96b","weight":10}],"max_attempts":2},
  {"name":"r-4","authority":"ficu95.example","prefix":"/up/","kind":"upload","service":"wuno96b"},
  {"name":"r-3","authority":"ficu95.example","prefix":"/","kind":"download","priority":2,"service":"wuno96b"}],
 "services":[{"name":"huvo11a","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},
  {"name":"wuno96b","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,
   "cold_start_s":3.0,"cold_per_s":14.0}],
 "tenants":[{"name":"hule930","api_keys":["k2","k1"],"priority":0,"rate_per_s":606,"burst":60.5},
  {"name":"free","api_keys":[]}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

const std::string heartbeat = R"({"address":"10.128.0.9:8080","born":1700000000123,
 "info":{"service":"huvo11a","version":"v1","zone":"rosario-a","slots":12},
 "status":{"state":"ready","sequence":4,"cold_ms":250}})";

} // namespace

// Guards against fields of the operators' configuration that are lost or misread in the translation.
BOOST_AUTO_TEST_CASE(reads_a_configuration) {
    const auto format = platform::make_intent_format();
    const auto item = format.decode({"op/config", configuration, 7});
    const auto& read = *std::get<std::shared_ptr<const snapshot>>(item);
    BOOST_TEST(read.version() == 12U);
    const route& order = read.state().routes.at("r-1");
    BOOST_TEST((order.kind == route_kind::non_idempotent));
    BOOST_TEST(order.host == "ficu95.example");
    BOOST_TEST(order.path_prefix == "/pufi791");
    BOOST_TEST(order.needs_subpath);
    BOOST_TEST(order.timeout == absl::Milliseconds(1500));
    BOOST_TEST(order.target_latency == absl::Milliseconds(500));
    BOOST_TEST(order.max_attempts == 2);
    BOOST_TEST(order.priority == 1);
    BOOST_TEST(read.state().routes.at("r-2").weight_by_service.at("wuno96b") == 10);
    BOOST_TEST((read.state().routes.at("r-3").kind == route_kind::download));
    BOOST_TEST(read.state().routes.at("r-3").path_prefix == "/");
    BOOST_TEST((read.state().routes.at("r-4").kind == route_kind::upload));
    BOOST_TEST(!read.state().routes.at("r-4").may_repeat(true));
    BOOST_TEST(order.allows_anonymous);
    BOOST_TEST(!read.state().routes.at("r-2").allows_anonymous);
    const tenant& customer = read.state().tenants.at("hule930");
    std::vector<std::string> digests{key_digest("k1"), key_digest("k2")};
    std::ranges::sort(digests);
    BOOST_TEST(customer.key_digests == digests);
    BOOST_TEST((customer.priority == 0));
    BOOST_TEST(customer.rate_per_second == 606);
    BOOST_TEST(customer.burst == 60.5);
    BOOST_TEST(!read.state().tenants.at("free").priority.has_value());
    BOOST_TEST(!read.state().tenants.at("free").has_quota());
    BOOST_TEST(read.canonical_bytes().find("\"k1\"") == std::string::npos);
    BOOST_TEST(read.state().services.at("wuno96b").cold_start == absl::Seconds(3));
    BOOST_TEST(read.state().services.at("wuno96b").cold_rate == 14);
    BOOST_TEST(read.state().services.at("huvo11a").max_connections == 110);
    BOOST_TEST(read.state().limits.at("callers").idle_timeout == absl::Seconds(15));
    // Every daemon must translate the version to the same bytes.
    const auto again = format.decode({"op/config", configuration, 99});
    BOOST_TEST(std::get<std::shared_ptr<const snapshot>>(again)->hash() == read.hash());
}

struct bad_item {
    const char* name;
    const char* key;
    std::string value;

    friend std::ostream& operator<<(std::ostream& out, const bad_item& row) {
        return out << row.name;
    }
};

const bad_item bad_items[] = {
    {"cut short", "op/config", configuration.substr(0, configuration.size() / 2)},
    {"not JSON", "op/config", "\xff\xfe"},
    {"a list", "op/config", "[]"},
    {"no version", "op/config", replaced(configuration, "\"version\":\"0000000c\",", "")},
    {"version not hexadecimal", "op/config", replaced(configuration, "0000000c", "version 12")},
    {"version a number", "op/config", replaced(configuration, "\"0000000c\"", "12")},
    {"routes an object", "op/config", replaced(configuration, "\"routes\":[", "\"routes\":{},\"x\":[")},
    {"weight negative", "op/config", replaced(configuration, "\"weight\":90", "\"weight\":-1")},
    {"key empty", "op/config", replaced(configuration, "\"k1\"", "\"\"")},
    {"quota a text", "op/config", replaced(configuration, "606", "\"many\"")},
    {"cold rate negative", "op/config", replaced(configuration, "14.0", "-14.0")},
    {"timeout a text", "op/config", replaced(configuration, "1500", "\"soon\"")},
    {"order without a duration", "op/rollout/huvo11a", R"({"service":"huvo11a","target_version":"v2"})"},
    {"order with a duration of zero", "op/rollout/huvo11a",
     R"({"service":"huvo11a","target_version":"v2","duration_s":0})"},
    {"order of another type", "op/rollout/huvo11a", R"({"service":5,"target_version":"v2","duration_s":12})"},
};

// Guards against a malformed value that crashes a daemon or is applied in part.
BOOST_DATA_TEST_CASE(refuses_bad_items, bad_items, row) {
    BOOST_CHECK_THROW(platform::make_intent_format().decode({row.key, row.value, 7}), error);
}

// Guards against reports that operators cannot read or that daemons do not recognise.
BOOST_AUTO_TEST_CASE(reports_round_trip) {
    const auto format = platform::make_intent_format();
    const auto item =
        format.decode({"op/rollout/huvo11a", R"({"service":"huvo11a","target_version":"v2","duration_s":12})", 41});
    const auto& request = std::get<order_request>(item);
    BOOST_TEST(request.introduced_in == 41U);
    BOOST_TEST(request.time_limit == absl::Seconds(12));
    for (const auto reported : {order_report::running, order_report::completed, order_report::rolled_back}) {
        const move_order order{"huvo11a", "v2", 41, absl::InfiniteFuture(), reported};
        const stored_item stored{format.report_key("huvo11a"), format.encode_report(order), 50};
        BOOST_TEST(stored.key == "status/rollout/huvo11a");
        BOOST_TEST((format.decode_report(stored, "v2") == reported));
        BOOST_TEST((format.decode_report(stored, "v3") == order_report::none));
    }
    BOOST_TEST((format.decode_report({"k", "garbage", 1}, "v2") == order_report::none));
    BOOST_TEST(std::holds_alternative<std::monostate>(format.decode({"op/other", "x", 1})));
}

BOOST_AUTO_TEST_CASE(reads_a_heartbeat) {
    const upstream_announcement read = platform::read_heartbeat("i-7f3a91c2", heartbeat);
    BOOST_TEST(read.id == "i-7f3a91c2");
    BOOST_TEST(read.service == "huvo11a");
    BOOST_TEST(read.slots == 12);
    BOOST_TEST(read.sequence == 4U);
    BOOST_TEST(!read.is_leaving);
    BOOST_TEST(read.remaining_warm_up == absl::Milliseconds(250));
    BOOST_TEST(absl::ToUnixMillis(read.started_at) == 1'700'000'000'123);
    BOOST_TEST(platform::read_heartbeat("i-1", replaced(heartbeat, "\"ready\"", "\"draining\"")).is_leaving);
}

const std::string bad_heartbeats[] = {"",
                                      "{}",
                                      "[]",
                                      replaced(heartbeat, "\"ready\"", "\"asleep\""),
                                      replaced(heartbeat, "\"slots\":12", "\"slots\":0"),
                                      replaced(heartbeat, "\"slots\":12", "\"slots\":\"12\""),
                                      replaced(heartbeat, "10.128.0.9:8080", "example:80"),
                                      replaced(heartbeat, "\"sequence\":4,", ""),
                                      replaced(heartbeat, "\"huvo11a\"", "\"../x\""),
                                      replaced(heartbeat, "\"status\"", "\"state\"")};

// Guards against a malformed heartbeat that announces an upstream.
BOOST_DATA_TEST_CASE(refuses_bad_heartbeats, bad_heartbeats, body) {
    int announced = 0;
    const control_actions actions{[] { return true; }, [&](const upstream_announcement&) { ++announced; },
                                  [](const std::string&) {}};
    const control_reply reply = platform::answer_call({"PUT", "/amaranthladder/instances/i-1", body}, actions);
    BOOST_TEST(reply.status == 400U);
    BOOST_TEST(announced == 0);
}

BOOST_AUTO_TEST_CASE(answers_platform_calls) {
    std::string withdrawn;
    bool is_ready = false;
    const control_actions actions{[&] { return is_ready; }, [](const upstream_announcement&) {},
                                  [&](const std::string& id) { withdrawn = id; }};
    BOOST_TEST(platform::answer_call({"GET", "/amaranthladder/ready", ""}, actions).status == 503U);
    is_ready = true;
    BOOST_TEST(platform::answer_call({"GET", "/amaranthladder/ready", ""}, actions).status == 200U);
    BOOST_TEST(platform::answer_call({"PUT", "/amaranthladder/instances/i-1", heartbeat}, actions).status == 200U);
    BOOST_TEST(platform::answer_call({"DELETE", "/amaranthladder/instances/i-1", ""}, actions).status == 200U);
    BOOST_TEST(withdrawn == "i-1");
    BOOST_TEST(platform::answer_call({"GET", "/elsewhere", ""}, actions).status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
