#include "config/snapshot.h"

#include "common/error.h"
#include "config/key_digest.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(snapshot_test)

intended_state small_state() {
    intended_state state;
    state.services["tienda"] = {"tienda", absl::Seconds(3), 16, {"10-a.ini", 1}};
    state.routes["precios"] = {
        "precios",      "tienda", "/precios", {"GET", "HEAD"}, route_kind::idempotent, absl::Milliseconds(700),
        {"10-a.ini", 5}};
    state.services["tienda"].cold_start = absl::Seconds(3);
    state.services["tienda"].cold_rate = 14.5;
    state.routes["precios"].allows_anonymous = true;
    state.tenants["t1"] = {"t1", {key_digest("k1")}, 0, 2.5, 7, {"30-c.ini", 1}};
    state.tenants["t2"] = {"t2", {key_digest("k2")}, std::nullopt, 0, 0, {"30-c.ini", 9}};
    state.shares["tienda"] = {"tienda", {{"1.4", 90}, {"1.5", 10}}, {"20-b.ini", 1}};
    state.moves["m1"] = {"m1", "tienda", "1.4", "1.5", absl::FromUnixSeconds(1'900'000'000), 7, {"20-b.ini", 4}};
    return state;
}

std::shared_ptr<const snapshot> small_snapshot(std::uint64_t version = 7) {
    return snapshot::create(version, absl::FromUnixMillis(1'800'000'000'123), "publish-1", small_state());
}

// Guards against a field that is lost or changed between the publisher and a daemon.
BOOST_AUTO_TEST_CASE(round_trip) {
    const auto original = small_snapshot();
    const auto copy = snapshot::decode(original->canonical_bytes(), original->hash());
    BOOST_TEST(copy->version() == 7);
    BOOST_TEST(copy->publish_id() == "publish-1");
    BOOST_TEST((copy->publish_time() == original->publish_time()));
    BOOST_TEST((copy->state() == small_state()));
    BOOST_TEST(copy->hash() == original->hash());
    BOOST_TEST(small_snapshot()->hash() == original->hash());
    BOOST_TEST(small_snapshot(8)->hash() != original->hash());
}

struct malformed_row {
    const char* name;
    std::string bytes;

    friend std::ostream& operator<<(std::ostream& out, const malformed_row& row) {
        return out << row.name;
    }
};

const std::string head = "[\"amaranthladder-snapshot\",3,7,1800000000123,\"p\"]\n";

const malformed_row malformed_rows[] = {
    {"empty", ""},
    {"no line feed at the end", head.substr(0, head.size() - 1)},
    {"other format", "[\"x\",2,7,0,\"p\"]\n"},
    {"later format", "[\"amaranthladder-snapshot\",4,7,0,\"p\"]\n"},
    {"earlier format", "[\"amaranthladder-snapshot\",1,7,0,\"p\"]\n"},
    {"version 0", "[\"amaranthladder-snapshot\",3,0,0,\"p\"]\n"},
    {"negative version", "[\"amaranthladder-snapshot\",3,-1,0,\"p\"]\n"},
    {"publish id too long", "[\"amaranthladder-snapshot\",3,7,0,\"" + std::string(129, 'p') + "\"]\n"},
    {"header with too many elements", "[\"amaranthladder-snapshot\",3,7,0,\"p\",1]\n"},
    {"no JSON", head + "service\n"},
    {"not an array", head + "{}\n"},
    {"two values in a row", head + "[] []\n"},
    {"empty row", head + "\n"},
    {"unknown kind", head + "[\"upstream\",\"a\"]\n"},
    {"too few elements", head + "[\"service\",\"a\",1]\n"},
    {"too many elements", head + "[\"service\",\"a\",1,1,0,\"\",0,0,\"f\",1,1]\n"},
    {"wrong type", head + "[\"service\",\"a\",\"1\",1,0,\"\",0,0,\"f\",1]\n"},
    {"negative duration", head + "[\"service\",\"a\",-1,1,0,\"\",0,0,\"f\",1]\n"},
    {"number over its range", head + "[\"service\",\"a\",1,4294967296,0,\"\",0,0,\"f\",1]\n"},
    {"fraction", head + "[\"service\",\"a\",1.5,1,0,\"\",0,0,\"f\",1]\n"},
    {"space in a row", head + "[\"service\", \"a\",1,1,0,\"\",0,0,\"f\",1]\n"},
    {"escaped letter", head + "[\"service\",\"\\u0061\",1,1,0,\"\",0,0,\"f\",1]\n"},
    {"text not UTF-8", head + "[\"service\",\"\xff\",1,1,0,\"\",0,0,\"f\",1]\n"},
    {"rows out of order",
     head + "[\"service\",\"b\",1,1,0,\"\",0,0,\"f\",1]\n[\"service\",\"a\",1,1,0,\"\",0,0,\"f\",1]\n"},
    {"section twice",
     head + "[\"service\",\"a\",1,1,0,\"\",0,0,\"f\",1]\n[\"service\",\"a\",1,1,0,\"\",0,0,\"f\",1]\n"},
    {"version twice in a share", head + "[\"share\",\"a\",{\"v\":1,\"v\":1},\"f\",1]\n"},
    {"weight not a number", head + "[\"share\",\"a\",{\"v\":true},\"f\",1]\n"},
    {"nested too deeply", head + "[\"share\",[[[[[]]]]]]\n"},
    {"row too long", head + "[\"service\",\"" + std::string(70'000, 'a') + "\",1,1,0,\"\",0,0,\"f\",1]\n"},
    {"too large", head + std::string(std::size_t{16} * 1024 * 1024, ' ') + "\n"},
};

// Guards against a decoder that accepts non-canonical bytes, uses unbounded memory or throws another exception.
BOOST_DATA_TEST_CASE(refuses_malformed_bytes, malformed_rows, row) {
    BOOST_CHECK_EXCEPTION(snapshot::decode(row.bytes), error,
                          [](const error& problem) { return problem.code() == result_code::snapshot_malformed; });
}

// Guards against a snapshot that was truncated or changed in transit. Only the hash detects truncation at the end of a
// row.
BOOST_AUTO_TEST_CASE(every_damage_is_detected) {
    const auto original = small_snapshot();
    const std::string& bytes = original->canonical_bytes();
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        BOOST_CHECK_THROW(snapshot::decode(changed, original->hash()), error);
        BOOST_CHECK_THROW(snapshot::decode(bytes.substr(0, i), original->hash()), error);
    }
}

// Guards against too many sections, which the size limit alone does not prevent.
BOOST_AUTO_TEST_CASE(sections_are_limited) {
    intended_state state;
    for (int i = 0; i < 50'001; ++i) {
        const std::string name = std::to_string(i);
        state.services[name] = {name, absl::Seconds(1), 1, {"f", 1}};
    }
    BOOST_CHECK_EXCEPTION(snapshot::create(1, absl::UnixEpoch(), "p", state), error,
                          [](const error& problem) { return problem.code() == result_code::config_too_large; });
    state.services.erase("7");
    const auto largest = snapshot::create(1, absl::UnixEpoch(), "p", state);
    BOOST_TEST(snapshot::decode(largest->canonical_bytes())->state().services.size() == 50'000);
}

BOOST_AUTO_TEST_SUITE_END()
