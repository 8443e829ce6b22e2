#include "fakes/platform_host.h"
#include "fakes/platform_store.h"
#include "routing/slot_limiter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <ostream>
#include <string>
#include <thread>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(leaving_queue_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

absl::Time at(int milliseconds) {
    return start + absl::Milliseconds(milliseconds);
}

/// A limiter with one slot, on which requests have taken 100 ms; request 1 runs.
slot_limiter busy_limiter(queue_order order) {
    slot_limiter limiter(1, 8, {.order = order});
    limiter.offer(100, at(10'000), at(0));
    limiter.finish(100, at(100));
    limiter.offer(1, at(10'000), at(100));
    return limiter;
}

} // namespace

struct order_row {
    const char* name;
    queue_order order;

    friend std::ostream& operator<<(std::ostream& out, const order_row& row) {
        return out << row.name;
    }
};

const order_row order_rows[] = {
    {"oldest first", queue_order::fifo},
    {"newest first", queue_order::lifo},
    {"earliest deadline first", queue_order::earliest_deadline},
    {"target first", queue_order::target_first},
};

// Guards against queued requests that reach an upstream when it no longer serves, and against waits of requests whose
// turn surely comes too late: those are refused at once. Pattern: an upstream leaves while requests wait for its slots.
BOOST_DATA_TEST_CASE(only_requests_that_can_end_in_time_stay_queued, order_rows, row) {
    slot_limiter limiter = busy_limiter(row.order);
    for (request_id id = 2; id <= 6; ++id) {
        BOOST_TEST((limiter.offer(id, at(9000), at(100)).result == admission::verdict::queued));
    }
    const int queued = limiter.queued();
    const auto refused = limiter.set_leaving(at(350), at(100));
    BOOST_TEST((limiter.drop_reason() == result_code::upstream_leaving));
    BOOST_TEST(refused.size() == static_cast<std::size_t>(queued - 1));
    BOOST_TEST(limiter.queued() == 1);
    // The running request takes longer than expected: the one behind it could start, but not end in time.
    BOOST_TEST(limiter.expire(at(249)).empty());
    BOOST_TEST(limiter.expire(at(250)).size() == 1U);
    BOOST_TEST(limiter.finish(1, at(260)).run.empty());
    BOOST_TEST(limiter.is_drained());
}

// Guards against a request that starts in time and is sent too late, after a slow connection or a slow body.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_end) {
    slot_limiter limiter = busy_limiter(queue_order::fifo);
    limiter.set_leaving(at(350), at(100));
    // A later report of the same leaving does not prolong the time.
    limiter.set_leaving(at(900), at(200));
    BOOST_TEST(limiter.may_send(at(349)));
    BOOST_TEST(!limiter.may_send(at(350)));
    BOOST_TEST(!limiter.try_repeat(at(350)));
    limiter.clear_leaving();
    BOOST_TEST(limiter.may_send(at(350)));
}

// Guards against orders that wait in the queue of a leaving upstream, reach it after the time for which it serves and
// are lost when it ends (review case 5). Plays it with real processes; also for an upstream that only withdraws itself.
BOOST_DATA_TEST_CASE(queued_orders_do_not_reach_an_upstream_that_has_left, boost::unit_test::data::make({false, true}),
                     withdraws) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    host.slots = 1;
    BOOST_REQUIRE(host.start_upstream());
    host.set_upstream_delay(absl::Milliseconds(3500));
    const auto order = [&host](const char* id) {
        const auto answer =
            host.client().Post("/orders/x", httplib::Headers{{"x-caller-id", id}}, "order", "text/plain");
        return answer ? answer->status : 0;
    };
    std::atomic<int> running = 0;
    std::atomic<int> queued = 0;
    std::thread first([&] { running = order("running"); });
    host.upstream.wait_for_running_request();
    std::thread second([&] { queued = order("queued"); });
    absl::SleepFor(absl::Milliseconds(200));
    BOOST_REQUIRE((withdraws ? host.withdraw() : host.announce(2, "draining")) == 200);
    const absl::Time acknowledged = absl::Now();
    second.join();
    BOOST_TEST(queued == 503, host.log());
    BOOST_TEST(absl::Now() - acknowledged < absl::Seconds(2.5));
    first.join();
    BOOST_TEST(running == 200);
    absl::SleepFor(absl::Milliseconds(300));
    BOOST_TEST(!host.upstream.execution_counts().contains("queued"));
}

BOOST_AUTO_TEST_SUITE_END()
