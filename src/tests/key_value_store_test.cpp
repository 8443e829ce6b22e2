#include "store/key_value_store.h"

#include "../../bench/store_stand_in.h"
#include "../../bench/store_stand_in_state.h"
#include "store/call_counter.h"
#include "store/http_store.h"

#include <absl/time/clock.h>
#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace amaranthladder;

static_assert(key_value_store<store_stand_in_state>);
static_assert(key_value_store<http_store>);

namespace {

constexpr absl::Duration limit = absl::Seconds(5);

/// The in-memory store.
struct memory_fixture {
    store_stand_in_state state;
    store_stand_in_state& store = state;
};

/// The HTTP adapter against a stand-in server on a free port.
struct http_fixture {
    store_stand_in_state state;
    store_stand_in server{state, {"127.0.0.1", 0}, 8};
    call_counter counter;
    http_store store{server.address(), counter};
};

using fixtures = boost::mpl::list<memory_fixture, http_fixture>;

} // namespace

BOOST_AUTO_TEST_SUITE(key_value_store_test)

// Guards against an adapter that confuses absent keys, conflicting writes and successful writes.
BOOST_AUTO_TEST_CASE_TEMPLATE(writes_follow_revisions, Fixture, fixtures) {
    Fixture fixture;
    auto& store = fixture.store;
    BOOST_TEST((store.get("a/b", limit).outcome == store_outcome::absent));
    BOOST_TEST((store.compare_and_swap("a/b", 5, "x", limit).outcome == store_outcome::conflict));
    const auto first = store.compare_and_swap("a/b", 0, "one", limit);
    BOOST_REQUIRE(first.is_ok());
    BOOST_TEST((store.compare_and_swap("a/b", 0, "two", limit).outcome == store_outcome::conflict));
    std::string bytes(700'000, '\0');
    bytes[5] = '\n';
    const auto second = store.compare_and_swap("a/b", *first.value, bytes, limit);
    BOOST_REQUIRE(second.is_ok());
    BOOST_TEST(*second.value > *first.value);
    const auto read = store.get("a/b", limit);
    BOOST_REQUIRE(read.is_ok());
    BOOST_TEST((read.value->value == bytes));
    BOOST_TEST(read.value->key_revision == *second.value);
    BOOST_REQUIRE(store.compare_and_swap("a/b", *second.value, "", limit).is_ok());
    BOOST_TEST(store.get("a/b", limit).value->value.empty());
    const std::string too_large(1'000'001, 'x');
    BOOST_TEST((store.compare_and_swap("c", 0, too_large, limit).outcome != store_outcome::ok));
    BOOST_TEST((store.get("c", limit).outcome == store_outcome::absent));
}

// Guards against watches that miss a change made before or during the wait, or that never end.
BOOST_AUTO_TEST_CASE_TEMPLATE(watches_return_changes, Fixture, fixtures) {
    Fixture fixture;
    auto& store = fixture.store;
    BOOST_TEST((store.watch("k", 0, absl::Milliseconds(100)).outcome == store_outcome::unchanged));
    std::thread writer([&store] {
        absl::SleepFor(absl::Milliseconds(50));
        store.compare_and_swap("k", 0, "one", limit);
    });
    const auto seen = store.watch("k", 0, limit);
    writer.join();
    BOOST_REQUIRE(seen.is_ok());
    BOOST_TEST(seen.value->value == "one");
    BOOST_TEST(store.watch("k", 0, limit).is_ok());
    BOOST_TEST(
        (store.watch("k", seen.value->key_revision, absl::Milliseconds(100)).outcome == store_outcome::unchanged));
    BOOST_TEST(fixture.state.counts().watch == 4U);
}

// Guards against a watch without a change that is reported as a failed call because the response is a little late: with
// a margin of a tenth of the wait, a pause of 10 ms made a short watch fail.
BOOST_AUTO_TEST_CASE(late_response_to_a_watch_is_not_a_failure) {
    http_fixture fixture;
    fixture.state.set_faults({.watch_response_delay = absl::Milliseconds(60)});
    BOOST_TEST((fixture.store.watch("k", 0, absl::Milliseconds(100)).outcome == store_outcome::unchanged));
}

// Guards against two holders of one lease, and against a lease that does not expire.
BOOST_AUTO_TEST_CASE_TEMPLATE(leases_have_one_holder, Fixture, fixtures) {
    Fixture fixture;
    auto& store = fixture.store;
    const auto held = store.acquire_lease("s", "d1", absl::Seconds(30), limit);
    BOOST_REQUIRE(held.is_ok());
    BOOST_TEST((store.acquire_lease("s", "d2", absl::Seconds(30), limit).outcome == store_outcome::conflict));
    BOOST_TEST(store.renew_lease(*held.value, limit).is_ok());
    lease other = *held.value;
    other.id += 1000;
    BOOST_TEST((store.renew_lease(other, limit).outcome == store_outcome::absent));
    BOOST_TEST((store.release_lease(other, limit).outcome == store_outcome::absent));
    BOOST_TEST(store.release_lease(*held.value, limit).is_ok());
    BOOST_TEST((store.renew_lease(*held.value, limit).outcome == store_outcome::absent));
    store_faults faults;
    faults.lease_lifetime_percent = 1;
    fixture.state.set_faults(faults);
    const auto brief = store.acquire_lease("s", "d2", absl::Seconds(1), limit);
    BOOST_REQUIRE(brief.is_ok());
    absl::SleepFor(absl::Milliseconds(20));
    BOOST_TEST((store.renew_lease(*brief.value, limit).outcome == store_outcome::absent));
    BOOST_TEST(store.acquire_lease("s", "d1", absl::Seconds(1), limit).is_ok());
}

// Guards against reporting a write without a response as certainly not done, and a certain failure as unknown.
BOOST_AUTO_TEST_CASE_TEMPLATE(faults_have_stated_outcomes, Fixture, fixtures) {
    Fixture fixture;
    auto& store = fixture.store;
    store_faults faults;
    faults.is_down = true;
    for (const bool closes : {false, true}) {
        faults.closes_connections = closes;
        fixture.state.set_faults(faults);
        BOOST_TEST((store.get("k", limit).outcome == store_outcome::unavailable));
        // A connection that closes without a response leaves the outcome of a write unknown.
        const auto written = store.compare_and_swap("k", 0, "x", limit).outcome;
        BOOST_TEST((written == store_outcome::unavailable || (closes && written == store_outcome::unknown)));
        BOOST_TEST((store.watch("k", 0, limit).outcome == store_outcome::unavailable));
    }
    fixture.state.set_faults({.lose_requests = 1});
    BOOST_TEST((store.compare_and_swap("k", 0, "x", limit).outcome == store_outcome::unknown));
    BOOST_TEST((store.get("k", limit).outcome == store_outcome::absent));
    fixture.state.set_faults({.lose_answers = 1});
    BOOST_TEST((store.compare_and_swap("k", 0, "x", limit).outcome == store_outcome::unknown));
    BOOST_TEST(store.get("k", limit).is_ok());
}

// Guards against calls to a slow store that exceed their deadline.
BOOST_AUTO_TEST_CASE_TEMPLATE(slow_calls_end_at_their_deadline, Fixture, fixtures) {
    Fixture fixture;
    auto& store = fixture.store;
    fixture.state.set_faults({.delay = absl::Milliseconds(1500)});
    const absl::Time start = absl::Now();
    BOOST_TEST((store.get("k", absl::Milliseconds(60)).outcome == store_outcome::unavailable));
    BOOST_TEST((store.compare_and_swap("k", 0, "x", absl::Milliseconds(60)).outcome == store_outcome::unknown));
    BOOST_TEST((absl::Now() - start < absl::Milliseconds(1400)));
}

// Guards against reporting `unknown`, which is costly to resolve, when nothing can have been sent.
BOOST_AUTO_TEST_CASE(refused_connections_are_unavailable) {
    endpoint address;
    {
        store_stand_in_state state;
        const store_stand_in server(state, {"127.0.0.1", 0}, 2);
        address = server.address();
    }
    call_counter counter;
    http_store store(address, counter);
    BOOST_TEST((store.compare_and_swap("k", 0, "x", limit).outcome == store_outcome::unavailable));
    BOOST_TEST((store.acquire_lease("k", "d", limit, limit).outcome == store_outcome::unavailable));
    BOOST_TEST(counter.total() == 2U);
    BOOST_TEST(counter.count(store_call_kind::compare_and_swap, store_outcome::unavailable) == 1U);
}

// Guards against a program that cannot stop while a watch is waiting.
BOOST_AUTO_TEST_CASE(close_ends_a_waiting_watch) {
    http_fixture fixture;
    const absl::Time start = absl::Now();
    std::thread closer([&fixture] {
        absl::SleepFor(absl::Milliseconds(100));
        fixture.store.close();
    });
    BOOST_TEST((fixture.store.watch("k", 0, absl::Seconds(60)).outcome == store_outcome::unavailable));
    closer.join();
    BOOST_TEST((absl::Now() - start < absl::Seconds(30)));
    BOOST_TEST((fixture.store.get("k", limit).outcome == store_outcome::unavailable));
}

// Guards against a publisher that replaces what another one wrote after the store came back from an older copy.
BOOST_AUTO_TEST_CASE(write_conflicts_with_a_revision_that_was_given_out_again) {
    http_fixture fixture;
    fixture.state.make_copy();
    const auto ours = fixture.store.compare_and_swap("config/head", 0, "ours", limit);
    fixture.state.restore_copy();
    const auto theirs = fixture.state.compare_and_swap("config/head", 0, "theirs", limit);
    BOOST_REQUIRE(theirs.is_ok());
    BOOST_TEST(number_of(*ours.value) == *theirs.value);
    BOOST_TEST((fixture.store.get("config/head", limit).value->value == "theirs"));
    BOOST_TEST(
        (fixture.store.compare_and_swap("config/head", *ours.value, "x", limit).outcome == store_outcome::conflict));
    BOOST_TEST((fixture.store.get("config/head", limit).value->value == "theirs"));
}

// Guards against a daemon that keeps a lost configuration, since its watch starts from a revision that was given out
// again.
BOOST_AUTO_TEST_CASE(watch_from_an_earlier_era_returns_the_value) {
    http_fixture fixture;
    fixture.state.make_copy();
    const auto lost = fixture.store.compare_and_swap("config/head", 0, "lost", limit);
    fixture.state.restore_copy();
    fixture.state.compare_and_swap("config/head", 0, "present", limit);
    // The first watch ends without a change, and shows the era.
    fixture.store.watch("config/head", *lost.value, absl::Milliseconds(50));
    const auto seen = fixture.store.watch("config/head", *lost.value, absl::Milliseconds(50));
    BOOST_REQUIRE(seen.is_ok());
    BOOST_TEST(seen.value->value == "present");
    BOOST_TEST(seen.value->key_revision > *lost.value);
}

// Guards against two holders of one lease, whose number was given out again.
BOOST_AUTO_TEST_CASE(lease_of_an_earlier_era_has_ended) {
    http_fixture fixture;
    fixture.state.make_copy();
    const auto ours = fixture.store.acquire_lease("seat/1", "a", absl::Seconds(60), limit);
    fixture.state.restore_copy();
    const auto theirs = fixture.state.acquire_lease("seat/1", "b", absl::Seconds(60), limit);
    BOOST_TEST(number_of(ours.value->id) == theirs.value->id);
    BOOST_TEST((fixture.store.renew_lease(*ours.value, limit).outcome == store_outcome::absent));
    BOOST_TEST((fixture.store.release_lease(*ours.value, limit).outcome == store_outcome::absent));
    BOOST_TEST(fixture.state.renew_lease(*theirs.value, limit).is_ok());
}

BOOST_AUTO_TEST_SUITE_END()
