#include "common/error.h"
#include "daemon/announced_upstreams.h"
#include "daemon/watcher_lease_record.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(announced_upstreams_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

upstream_announcement announcement(const std::string& id, std::uint16_t port) {
    upstream_announcement made;
    made.id = id;
    made.service = "tienda";
    made.version = "v1";
    made.address = {"127.0.0.1", port};
    made.slots = 12;
    return made;
}

} // namespace

struct bad_announcement {
    const char* name;
    const char* json;
    const char* key; ///< Expected in the error text.

    friend std::ostream& operator<<(std::ostream& out, const bad_announcement& row) {
        return out << row.name;
    }
};

const bad_announcement bad_announcements[] = {
    {"no JSON", "hello", "JSON"},
    {"list", "[]", "JSON"},
    {"no id", R"({"service":"s","version":"v","address":"127.0.0.1:1","slots":1})", "id"},
    {"bad id", R"({"id":"a b","service":"s","version":"v","address":"127.0.0.1:1","slots":1})", "id"},
    {"host name", R"({"id":"a","service":"s","version":"v","address":"host:1","slots":1})", "address"},
    {"port 0", R"({"id":"a","service":"s","version":"v","address":"127.0.0.1:0","slots":1})", "address"},
    {"no slots", R"({"id":"a","service":"s","version":"v","address":"127.0.0.1:1"})", "slots"},
    {"too many slots", R"({"id":"a","service":"s","version":"v","address":"127.0.0.1:1","slots":10001})", "slots"},
    {"routes of numbers", R"({"id":"a","service":"s","version":"v","address":"127.0.0.1:1","slots":1,"routes":[1]})",
     "routes"},
    {"negative load", R"({"id":"a","service":"s","version":"v","address":"127.0.0.1:1","slots":1,"load":-1})", "load"},
    {"leaving as text", R"({"id":"a","service":"s","version":"v","address":"127.0.0.1:1","slots":1,"leaving":"no"})",
     "leaving"},
};

// A malformed announcement is refused as a whole, and the error names the invalid key.
BOOST_DATA_TEST_CASE(refuses_bad_announcements, bad_announcements, row) {
    BOOST_CHECK_EXCEPTION(parse_announcement(row.json), error, [&](const error& problem) {
        return problem.code() == result_code::announcement_malformed &&
               std::string(problem.what()).find(row.key) != std::string::npos;
    });
}

// Only changed records are gossiped: neither unchanged announcements cause gossip, nor are changes missed.
BOOST_AUTO_TEST_CASE(reports_changes_only) {
    announced_upstreams known("rosario-a", absl::Seconds(3));
    upstream_announcement changing = announcement("a", 1);
    BOOST_TEST(known.announce(changing, start).is_record_changed);
    changing.load = 0.9;
    BOOST_TEST(!known.announce(changing, start).is_record_changed);
    changing.slots = 6;
    BOOST_TEST(known.announce(changing, start).is_record_changed);
    changing.is_leaving = true;
    BOOST_TEST(known.announce(changing, start).is_record_changed);
    BOOST_TEST(known.record("a").is_leaving);
    BOOST_TEST(known.record("a").data_center == "rosario-a");
    changing.is_leaving = false;
    BOOST_TEST(known.announce(changing, start).is_record_changed);
    BOOST_TEST(!known.record("a").is_leaving);
}

// An upstream is removed after the timeout, so that no requests are sent to it, and not before.
BOOST_AUTO_TEST_CASE(forgets_silent_upstreams) {
    announced_upstreams known("rosario-a", absl::Seconds(3));
    known.announce(announcement("a", 1), start);
    known.announce(announcement("b", 2), start);
    known.announce(announcement("b", 2), start + absl::Seconds(2));
    BOOST_TEST(known.expire(start + absl::Milliseconds(2999)).empty());
    BOOST_TEST(known.expire(start + absl::Seconds(3)) == std::vector<std::string>{"a"});
    BOOST_TEST(known.upstreams().size() == 1U);
}

// Guards against counting the slots of one address twice.
BOOST_AUTO_TEST_CASE(refuses_a_taken_address) {
    announced_upstreams known("rosario-a", absl::Seconds(3));
    known.announce(announcement("a", 1), start);
    BOOST_CHECK_EXCEPTION(known.announce(announcement("b", 1), start), error,
                          [](const error& problem) { return problem.code() == result_code::announcement_conflict; });
}

// Guards against requests to an ended upstream: the daemon restarts, receives the withdrawal and only then a delayed
// announcement, which is the first one it sees. Found by kufenbach-mesh trouble-3.
BOOST_AUTO_TEST_CASE(remembers_withdrawal_of_an_unknown_upstream) {
    announced_upstreams known("rosario-a", absl::Seconds(3));
    BOOST_TEST(!known.withdraw("a", start));
    upstream_announcement delayed = announcement("a", 1);
    delayed.started_at = start - absl::Seconds(20);
    delayed.sequence = 5;
    BOOST_TEST(!known.announce(delayed, start + absl::Seconds(1)).is_record_changed);
    BOOST_TEST(known.upstreams().empty());
    delayed.started_at = start + absl::Seconds(2);
    BOOST_TEST(known.announce(delayed, start + absl::Seconds(3)).is_record_changed);
}

struct delayed_announcement_row {
    const char* name;
    int started_s;          ///< Start of the upstream in the second announcement; 100 in the first.
    std::uint64_t sequence; ///< Sequence of the second announcement; 5 in the first.
    const char* id;         ///< Id in the second announcement; "a" in the first.
    bool is_accepted;
    bool replaces;

    friend std::ostream& operator<<(std::ostream& out, const delayed_announcement_row& row) {
        return out << row.name;
    }
};

const delayed_announcement_row delayed_announcement_rows[] = {
    {"later announcement", 100, 6, "a", true, false},
    {"delayed announcement", 100, 4, "a", false, false},
    {"restart under the same id counts anew", 200, 1, "a", true, false},
    {"delayed announcement of an earlier start", 50, 9, "a", false, false},
    {"another upstream has taken over the address", 200, 1, "b", true, true},
    {"delayed announcement of the one that had the address before", 50, 9, "b", false, false},
};

// Guards against a delayed announcement that restores an outdated state or a replaced upstream.
BOOST_DATA_TEST_CASE(ignores_delayed_announcements, delayed_announcement_rows, row) {
    announced_upstreams known("rosario-a", absl::Seconds(3));
    upstream_announcement first = announcement("a", 1);
    first.started_at = absl::FromUnixSeconds(100);
    first.sequence = 5;
    known.announce(first, start);
    upstream_announcement second = announcement(row.id, 1);
    second.started_at = absl::FromUnixSeconds(row.started_s);
    second.sequence = row.sequence;
    second.is_leaving = true;
    const auto changed = known.announce(second, start);
    BOOST_TEST(changed.is_record_changed == row.is_accepted);
    BOOST_TEST(changed.replaced_ids.empty() == !row.replaces);
    BOOST_TEST(known.upstreams().size() == 1U);
    BOOST_TEST(known.upstreams().begin()->first == (row.is_accepted ? row.id : "a"));
}

// Guards against requests to an ended upstream: one of its announcements arrives after the withdrawal.
BOOST_AUTO_TEST_CASE(withdrawn_upstreams_stay_gone) {
    announced_upstreams known("rosario-a", absl::Seconds(3));
    upstream_announcement withdrawn = announcement("a", 1);
    withdrawn.started_at = absl::FromUnixSeconds(100);
    withdrawn.sequence = 5;
    known.announce(withdrawn, start);
    BOOST_TEST(known.withdraw("a", start));
    BOOST_TEST(!known.withdraw("a", start));
    withdrawn.sequence = 6;
    BOOST_TEST(!known.announce(withdrawn, start).is_record_changed);
    BOOST_TEST(known.upstreams().empty());
    withdrawn.started_at = absl::FromUnixSeconds(101);
    BOOST_TEST(known.announce(withdrawn, start).is_record_changed);
}

// Guards against new requests to an upstream whose daemon shuts down: its announcements still say that it is not
// leaving.
BOOST_AUTO_TEST_CASE(upstreams_stay_leaving_during_shutdown) {
    announced_upstreams known("rosario-a", absl::Seconds(3));
    known.announce(announcement("a", 1), start);
    known.set_all_leaving();
    known.announce(announcement("a", 1), start + absl::Seconds(1));
    BOOST_TEST(known.record("a").is_leaving);
}

// Guards against daemons that disagree on the holder of a watcher lease: merging is commutative and idempotent, and
// malformed records are ignored.
BOOST_AUTO_TEST_CASE(watcher_lease_records_merge) {
    const std::string first = watcher_lease_record{5, endpoint{"127.0.0.1", 1}}.encode();
    const std::string second = watcher_lease_record{5, endpoint{"127.0.0.1", 2}}.encode();
    const std::string given_up = watcher_lease_record{6, std::nullopt}.encode();
    for (const auto& left : {first, second, given_up}) {
        for (const auto& right : {first, second, given_up}) {
            BOOST_TEST(merge_watcher_lease_records(left, right) == merge_watcher_lease_records(right, left));
            BOOST_TEST(merge_watcher_lease_records(left, left) == left);
        }
        BOOST_TEST(merge_watcher_lease_records(left, given_up) == given_up);
        for (const char* const damaged : {"", "x", "5", "5 host:1", "-1 -"}) {
            BOOST_TEST(merge_watcher_lease_records(left, damaged) == left);
        }
    }
    BOOST_TEST((watcher_lease_record::decode(given_up) == watcher_lease_record{6, std::nullopt}));
}

// Guards against a heartbeat that was sent before the upstream said in a response that it leaves, and puts it in use
// again.
BOOST_AUTO_TEST_CASE(announcements_do_not_revoke_what_a_response_said) {
    announced_upstreams upstreams("rosario-a", absl::Seconds(3));
    upstream_announcement made = announcement("tienda-1", 9000);
    made.started_at = start;
    made.sequence = 4;
    upstreams.announce(made, start);
    BOOST_TEST(!upstreams.set_said_leaving("tienda-2", start));
    BOOST_TEST(upstreams.set_said_leaving("tienda-1", start));
    BOOST_TEST(!upstreams.set_said_leaving("tienda-1", start));
    made.sequence = 5;
    upstreams.announce(made, start + absl::Seconds(1));
    BOOST_TEST(upstreams.record("tienda-1").is_leaving);
    made.started_at = start + absl::Seconds(2);
    made.sequence = 1;
    BOOST_TEST(upstreams.announce(made, start + absl::Seconds(2)).is_record_changed);
    BOOST_TEST(!upstreams.record("tienda-1").is_leaving);
}

BOOST_AUTO_TEST_SUITE_END()
