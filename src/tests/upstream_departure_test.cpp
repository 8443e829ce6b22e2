#include "common/error.h"
#include "daemon/announced_upstreams.h"
#include "daemon/upstream_departure.h"
#include "fakes/platform_host.h"
#include "fakes/platform_store.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(upstream_departure_test)

namespace {

const absl::Time now = absl::FromUnixSeconds(1'000'000);
const absl::Time first_start = now - absl::Seconds(60);

upstream_announcement announcement(absl::Time started_at, std::uint64_t sequence) {
    upstream_announcement made;
    made.id = "tienda-1";
    made.service = "tienda";
    made.version = "v1";
    made.address = {"127.0.0.1", 9000};
    made.slots = 12;
    made.started_at = started_at;
    made.sequence = sequence;
    return made;
}

} // namespace

struct late_announcement_row {
    const char* name;
    departure_kind kind; ///< Of the start above, said with announcement 5.
    absl::Time started_at;
    std::uint64_t sequence;
    bool is_known;   ///< The upstream is known afterwards.
    bool is_leaving; ///< It is leaving then.

    friend std::ostream& operator<<(std::ostream& out, const late_announcement_row& row) {
        return out << row.name;
    }
};

const late_announcement_row late_announcement_rows[] = {
    {"ended, sent before", departure_kind::ended, first_start, 4, false, false},
    {"ended, sent later", departure_kind::ended, first_start, 6, false, false},
    {"ended, earlier start", departure_kind::ended, first_start - absl::Seconds(1), 9, false, false},
    {"ended, new start", departure_kind::ended, first_start + absl::Seconds(1), 1, true, false},
    {"responded, sent before", departure_kind::responded, first_start, 4, true, true},
    {"responded, sent later", departure_kind::responded, first_start, 6, true, true},
    {"responded, new start", departure_kind::responded, first_start + absl::Seconds(1), 1, true, false},
    {"announced, sent before", departure_kind::announced, first_start, 4, false, false},
    {"announced, sent later", departure_kind::announced, first_start, 6, true, false},
};

// Guards against a daemon that has started again and believes an announcement that was sent before its upstream left,
// whether the other daemons tell it of the leaving before that announcement arrives or after it.
BOOST_DATA_TEST_CASE(departures_hold_after_a_restart,
                     late_announcement_rows* boost::unit_test::data::make({true, false}), row, is_told_first) {
    announced_upstreams known("rosario-a", absl::Seconds(6));
    const upstream_departure departure{first_start, row.kind,
                                       row.kind == departure_kind::announced ? std::uint64_t{5} : 0, now};
    if (is_told_first) {
        known.hear_departure("tienda-1", departure, now);
    }
    const auto changed = known.announce(announcement(row.started_at, row.sequence), now);
    if (!is_told_first) {
        known.hear_departure("tienda-1", departure, now);
    } else {
        BOOST_TEST(changed.is_ignored == !row.is_known);
    }
    // Told after it, the announcement that was sent before is undone by its state only.
    const bool is_known = known.upstreams().contains("tienda-1");
    const bool is_usable = is_known && !known.record("tienda-1").is_leaving;
    BOOST_TEST(is_usable == (row.is_known && !row.is_leaving));
}

// Guards against daemons that keep different departures of one upstream: merging is commutative, associative and
// idempotent, and malformed records lose.
BOOST_AUTO_TEST_CASE(departure_records_merge) {
    const std::vector<std::string> records{
        upstream_departure{first_start, departure_kind::announced, 5, now}.encode(),
        upstream_departure{first_start, departure_kind::announced, 7, now}.encode(),
        upstream_departure{first_start, departure_kind::responded, 0, now}.encode(),
        upstream_departure{first_start, departure_kind::ended, 0, now}.encode(),
        upstream_departure{first_start, departure_kind::ended, 0, now + absl::Seconds(1)}.encode(),
        upstream_departure{first_start + absl::Seconds(9), departure_kind::announced, 1, now}.encode(),
        "",
        "5 ended",
        "5 gone 0 5",
        "99999999999999999999 ended 0 5",
    };
    for (const std::string& first : records) {
        BOOST_TEST(merge_departure_records(first, first) == first);
        for (const std::string& second : records) {
            BOOST_TEST(merge_departure_records(first, second) == merge_departure_records(second, first));
            for (const std::string& third : records) {
                BOOST_TEST(merge_departure_records(merge_departure_records(first, second), third) ==
                           merge_departure_records(first, merge_departure_records(second, third)));
            }
        }
    }
    BOOST_TEST(merge_departure_records(records[3], records[1]) == records[3]);
    BOOST_TEST(merge_departure_records(records[3], records[5]) == records[5]);
    BOOST_TEST(merge_departure_records(records[0], records[8]) == records[0]);
    BOOST_CHECK_THROW(upstream_departure::decode(records[9]), error);
}

// Guards against memory that grows with the upstreams that have ever left.
BOOST_AUTO_TEST_CASE(old_departures_are_forgotten) {
    announced_upstreams known("rosario-a", absl::Seconds(6));
    known.hear_departure("tienda-1", {first_start, departure_kind::ended, 0, now}, now);
    const absl::Time later = now + absl::Minutes(3);
    known.hear_departure("tienda-2", {first_start, departure_kind::ended, 0, later}, later);
    BOOST_TEST(!known.departure("tienda-1"));
    BOOST_TEST(known.departure("tienda-2").has_value());
}

enum class leaving_way { withdrawal, announcement, response };

struct restart_row {
    const char* name;
    leaving_way way;
    std::uint64_t late_sequence; ///< Of the announcement that arrives after the restart.

    friend std::ostream& operator<<(std::ostream& out, const restart_row& row) {
        return out << row.name;
    }
};

const restart_row restart_rows[] = {
    {"withdrawn", leaving_way::withdrawal, 2},
    {"announced as draining", leaving_way::announcement, 2},
    {"said in a response", leaving_way::response, 4},
};

// Guards against an upstream that has left and is in use again after a restart of its daemon, because of an
// announcement that was sent before (review case 3). Plays it with real processes.
BOOST_DATA_TEST_CASE(left_upstream_is_not_used_after_a_restart, restart_rows, row) {
    platform_store store;
    put_test_configuration(store);
    platform_host leaving(store, 1);
    platform_host other(store, 2);
    const auto request = [](const platform_host& entry, int number) {
        const auto answer =
            entry.client().Get("/reads/x", httplib::Headers{{"x-caller-id", "read-" + std::to_string(number)}});
        return answer ? answer->status : 0;
    };
    BOOST_REQUIRE(leaving.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(other.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(leaving.announce(1) == 200);
    BOOST_REQUIRE(leaving.wait_for_status("/reads/x", 200));
    BOOST_REQUIRE(other.wait_for_status("/reads/x", 200));
    BOOST_REQUIRE(other.announce(1) == 200);
    switch (row.way) {
    case leaving_way::withdrawal:
        BOOST_REQUIRE(leaving.withdraw() == 200);
        break;
    case leaving_way::announcement:
        BOOST_REQUIRE(leaving.announce(3, "draining") == 200);
        break;
    case leaving_way::response: {
        fake_upstream_behavior says_leaving;
        says_leaving.headers = {{"X-Response-Signature", "test"}, {"Server-Leaving", "1"}};
        leaving.upstream.set_behavior(says_leaving);
        const std::size_t served = leaving.upstream.execution_counts().size();
        for (int number = 0; leaving.upstream.execution_counts().size() == served && number < 100; ++number) {
            request(leaving, number);
        }
        break;
    }
    }
    absl::SleepFor(absl::Milliseconds(500));
    leaving.kill();
    leaving.start();
    BOOST_REQUIRE(leaving.wait_for_status("/reads/x", 200));
    leaving.announce(row.late_sequence);
    absl::SleepFor(absl::Seconds(1));
    const auto before = leaving.upstream.execution_counts();
    for (int number = 1000; number < 1060; ++number) {
        BOOST_TEST(request(number % 2 == 0 ? other : leaving, number) == 200);
    }
    BOOST_TEST(leaving.upstream.execution_counts().size() == before.size(), leaving.log());
}

// The same where no other daemon remembers the departure: the daemon reads it in its own registration in the store.
BOOST_AUTO_TEST_CASE(left_upstream_is_not_used_after_a_restart_without_peers) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    BOOST_REQUIRE(host.start_upstream());
    BOOST_REQUIRE(host.withdraw() == 200);
    absl::SleepFor(absl::Seconds(1));
    for (int start = 0; start < 2; ++start) {
        host.kill();
        host.start();
        BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
        host.announce(2);
        BOOST_TEST(host.wait_for_status("/reads/x", 503), host.log());
        absl::SleepFor(absl::Milliseconds(500));
        BOOST_TEST(host.client().Get("/reads/x")->status == 503);
    }
}

BOOST_AUTO_TEST_SUITE_END()
