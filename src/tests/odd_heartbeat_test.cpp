#include "common/error.h"
#include "daemon/announced_upstreams.h"
#include "fakes/nested_text.h"
#include "peers/message_codec.h"
#include "platform/control_calls.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(odd_heartbeat_test)

namespace {

const std::string valid_heartbeat = R"({"address":"127.0.0.1:8080","born":1700000000123,
 "info":{"service":"tienda","version":"v1","zone":"rosario-a","slots":12},
 "status":{"state":"ready","sequence":4,"cold_ms":250}})";

} // namespace

struct odd_heartbeat {
    const char* name;
    const char* from;
    std::string to;

    friend std::ostream& operator<<(std::ostream& out, const odd_heartbeat& row) {
        return out << row.name;
    }
};

const odd_heartbeat odd_heartbeats[] = {
    {"port out of range", "127.0.0.1:8080", "127.0.0.1:99999"},
    {"port of zero", "127.0.0.1:8080", "127.0.0.1:0"},
    {"negative port", "127.0.0.1:8080", "127.0.0.1:-1"},
    {"start too large for an integer", "1700000000123", "99999999999999999999999999"},
    {"start too large for a time", "1700000000123", "18446744073709551615"},
    {"start of the largest integer", "1700000000123", "9223372036854775807"},
    {"start as a fraction", "1700000000123", "1e308"},
    {"sequence too large", "\"sequence\":4", "\"sequence\":99999999999999999999"},
    {"slots too large", "\"slots\":12", "\"slots\":99999999999"},
    {"time of slowness too large", "250", "18446744073709551615"},
    {"deeply nested", "\"v1\"", nested("[", "", "]", 10'000)},
    {"deeply nested beside the known fields", "\"born\"", "\"x\":" + nested("{\"a\":", "1", "}", 10'000) + ",\"born\""},
};

// Guards against an upstream that is announced with values that nobody can use, and against the loss of what is known.
BOOST_DATA_TEST_CASE(odd_heartbeats_are_refused, odd_heartbeats, row) {
    std::string body = valid_heartbeat;
    boost::replace_first(body, row.from, row.to);
    BOOST_REQUIRE(body != valid_heartbeat);
    BOOST_CHECK_THROW(platform::read_heartbeat("i-1", body), error);
}

// Guards against a record of an upstream that its owner sends and other daemons cannot read: they would drop every
// message and every repair that contains it.
BOOST_AUTO_TEST_CASE(extreme_but_valid_heartbeats_can_be_sent) {
    std::string body = valid_heartbeat;
    boost::replace_first(body, "\"sequence\":4", "\"sequence\":9223372036854775807");
    boost::replace_first(body, "\"slots\":12", "\"slots\":10000");
    const upstream_announcement read = platform::read_heartbeat(std::string(64, 'i'), body);
    upstream_record record;
    record.id = read.id;
    record.service = read.service;
    record.version = read.version;
    record.owner = {"127.0.0.1", 1};
    record.address = read.address;
    record.slots = read.slots;
    record.started_at = read.started_at;
    const auto decoded = message_codec::decode_upstream(message_codec::encode(record));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == record));
}

// Guards against an upstream that can never announce itself again, because another writer has announced its id with a
// start in the far future.
BOOST_AUTO_TEST_CASE(start_in_the_future_does_not_replace_the_true_one) {
    const absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    announced_upstreams known("rosario-a", absl::Seconds(6));
    upstream_announcement announcement = platform::read_heartbeat("i-1", valid_heartbeat);
    announcement.started_at = now + absl::Hours(24);
    BOOST_CHECK_THROW(known.announce(announcement, now), error);
    // The clock of the upstream may be some seconds ahead.
    announcement.started_at = now + absl::Seconds(20);
    BOOST_TEST(known.announce(announcement, now).is_record_changed);
}

BOOST_AUTO_TEST_SUITE_END()
