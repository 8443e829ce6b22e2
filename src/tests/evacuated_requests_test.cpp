#include "fakes/two_daemons.h"
#include "routing/router.h"
#include "routing/slot_limiter.h"

#include <absl/random/random.h>
#include <absl/time/clock.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <future>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(evacuated_requests_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

upstream_record make_record(const std::string& id, const std::string& data_center) {
    upstream_record record;
    record.id = id;
    record.service = "bench";
    record.version = "v1";
    record.data_center = data_center;
    record.slots = 6;
    record.incarnation = 1;
    return record;
}

/// An entry in data centre `a` with an upstream in each of `a`, `b` and `c`.
struct entry_router {
    entry_router() : routes({.data_center = "a"}) {
        target.name = "orders";
        target.service = "bench";
        routes.set_upstreams({make_record("in-a", "a"), make_record("in-b", "b"), make_record("in-c", "c")}, start);
    }

    routing_decision choose(absl::Time now) {
        return routes.choose(target, {.is_idempotent = true}, now, random);
    }

    /// @return how many of 1,000 requests go to an upstream.
    int count(const std::string& id, absl::Time now) {
        int chosen = 0;
        for (int number = 0; number < 1000; ++number) {
            chosen += choose(now).upstream_id == id ? 1 : 0;
        }
        return chosen;
    }

    router routes;
    route target;
    std::mt19937_64 random{1};
};

} // namespace

// Guards against requests to an evacuated data centre: the local one, the only one that is left, one whose upstream is
// listed during the evacuation, and one with an ejected upstream that would be probed.
BOOST_AUTO_TEST_CASE(evacuated_upstreams_are_never_chosen) {
    entry_router entry;
    for (int failure = 0; failure < 40; ++failure) {
        for (const char* id : {"in-a", "in-b", "in-c"}) {
            entry.routes.on_started(id, start);
            entry.routes.on_finished(
                id, id == std::string("in-b") ? attempt_outcome::sent_no_answer : attempt_outcome::answered,
                absl::Milliseconds(20), std::nullopt, start);
        }
    }
    entry.routes.set_evacuated_data_centers({"a", "b"}, start);
    BOOST_TEST(entry.count("in-c", start + absl::Minutes(1)) == 1000);
    entry.routes.set_evacuated_data_centers({"a", "b", "c"}, start);
    const routing_decision refused = entry.choose(start + absl::Minutes(1));
    BOOST_TEST((refused.refusal == result_code::data_center_evacuated));
    BOOST_TEST(describe(refused.refusal).http_status == 503);
    BOOST_TEST((describe(refused.refusal).request_execution == execution::not_run));
    entry.routes.set_upstreams({make_record("new-in-a", "a")}, start);
    BOOST_TEST(entry.choose(start).is_refused());
    entry.routes.set_upstreams({}, start);
    BOOST_TEST((entry.choose(start).refusal == result_code::no_upstream));
}

// Guards against a burst at upstreams whose evacuation has just ended: they may be cold.
BOOST_AUTO_TEST_CASE(upstreams_are_ramped_up_after_an_evacuation) {
    entry_router entry;
    entry.routes.set_upstreams({make_record("in-a", "a"), make_record("second", "a")}, start);
    entry.routes.set_upstreams({make_record("in-a", "a"), make_record("second", "a"), make_record("in-b", "b")}, start);
    entry.routes.set_evacuated_data_centers({"b"}, start);
    entry.routes.set_evacuated_data_centers({"a"}, start + absl::Minutes(1));
    BOOST_TEST(entry.count("in-b", start + absl::Minutes(1)) == 1000);
    entry.routes.set_upstreams({make_record("in-a", "a"), make_record("third", "b"), make_record("in-b", "b")},
                               start + absl::Minutes(2));
    const absl::Time end = start + absl::Minutes(3);
    BOOST_TEST(entry.count("in-b", end) > 300);
    // Back in `a`, which is local, but with two upstreams of `b` that are warm and one of `a` that is not.
    entry.routes.set_evacuated_data_centers({"b"}, end);
    BOOST_TEST(entry.count("in-a", end) == 1000);
}

// Guards against a queued request that starts after the order, one that holds a slot and is sent, and requests that are
// refused after the end of the order.
BOOST_AUTO_TEST_CASE(owner_refuses_new_queued_and_unsent_requests) {
    slot_limiter limiter(1, 4);
    const absl::Time deadline = start + absl::Seconds(5);
    BOOST_TEST((limiter.offer(1, deadline, start).result == admission::verdict::run));
    BOOST_TEST((limiter.offer(2, deadline, start).result == admission::verdict::queued));
    BOOST_TEST((limiter.offer(3, deadline, start).result == admission::verdict::queued));
    BOOST_TEST(limiter.may_send(start));
    BOOST_TEST((limiter.set_refusal(result_code::data_center_evacuated) == std::vector<request_id>{2, 3}));
    BOOST_TEST((limiter.drop_reason() == result_code::data_center_evacuated));
    BOOST_TEST(!limiter.may_send(start));
    BOOST_TEST(!limiter.try_repeat(start));
    const admission refused = limiter.offer(4, deadline, start);
    BOOST_TEST((refused.refusal == result_code::data_center_evacuated));
    BOOST_TEST(limiter.finish(1, start).run.empty());
    BOOST_TEST(limiter.set_refusal(result_code::ok).empty());
    BOOST_TEST((limiter.offer(5, deadline, start).result == admission::verdict::run));
    BOOST_TEST(limiter.may_send(start));
}

// Guards against a request that an owner sends because the entry has not heard of the order, and one that waits in its
// queue meanwhile.
BOOST_AUTO_TEST_CASE(owner_refuses_what_an_entry_still_sends) {
    two_daemons mesh(1, 4);
    fake_upstream_behavior behavior;
    behavior.delay = absl::Milliseconds(600);
    mesh.upstream.set_behavior(behavior);
    auto running = std::async(std::launch::async, [&] { return code_of(mesh.client().Get("/running")); });
    absl::SleepFor(absl::Milliseconds(150));
    auto queued = std::async(std::launch::async, [&] { return code_of(mesh.client().Get("/queued")); });
    absl::SleepFor(absl::Milliseconds(150));
    mesh.owner->set_evacuated_data_centers({"rosario-a"});
    BOOST_TEST((queued.wait_for(std::chrono::milliseconds(200)) == std::future_status::ready));
    BOOST_TEST(queued.get() == "1427");
    const auto refused = mesh.client().Get("/new");
    BOOST_TEST(code_of(refused) != "no answer");
    BOOST_TEST(refused->status == 503);
    running.get();
    mesh.entry->set_evacuated_data_centers({"rosario-a"});
    BOOST_TEST(code_of(mesh.client().Get("/new")) == "1427");
    BOOST_TEST(mesh.upstream.execution_counts().size() == 1U);
    mesh.owner->set_evacuated_data_centers({});
    mesh.entry->set_evacuated_data_centers({});
    const auto served = mesh.client().Get("/served");
    BOOST_REQUIRE(served);
    BOOST_TEST(served->status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
