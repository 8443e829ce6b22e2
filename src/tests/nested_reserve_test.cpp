#include "routing/nested_reserve.h"
#include "routing/slot_limiter.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(nested_reserve_test)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

slot_request request(request_id id, absl::Time now, bool is_nested) {
    slot_request made;
    made.id = id;
    made.deadline = now + absl::Seconds(3);
    made.target_time = now + absl::Seconds(2);
    made.kind = is_nested ? "stops" : "trips";
    made.is_nested = is_nested;
    return made;
}

/// @return a limiter with 4 slots, all free, that has served nested calls of 50 ms at 20 a second.
slot_limiter limiter_with_nested_calls(absl::Time& now) {
    slot_limiter limiter(4, 16, {.order = queue_order::target_first, .max_nested_reserve = 0.5});
    for (request_id id = 1000; id < 1200; ++id, now += absl::Milliseconds(50)) {
        limiter.offer(request(id, now, true), now);
        limiter.finish(id, now + absl::Milliseconds(50));
    }
    return limiter;
}

} // namespace

// Guards against a reserve that does not follow the demand, that outlasts the nested calls, or that leaves new work
// without slots.
BOOST_AUTO_TEST_CASE(follows_the_demand) {
    nested_reserve reserve;
    absl::Time now = start;
    BOOST_TEST(reserve.reserved(12, now) == 0);
    for (int number = 0; number < 1000; ++number, now += absl::Milliseconds(20)) {
        reserve.on_offered(absl::Milliseconds(50), now); // 50 a second: 2.5 slots.
    }
    BOOST_TEST(reserve.reserved(12, now) == 3);
    BOOST_TEST(reserve.reserved(4, now) == 2);
    BOOST_TEST(reserve.reserved(1, now) == 0);
    BOOST_TEST(reserve.reserved(12, now + absl::Seconds(20)) == 0);
}

// Guards against new work that takes the last slots, so that it waits for nested calls which can not start, and against
// nested calls that wait behind new work for which no slot is free.
BOOST_AUTO_TEST_CASE(keeps_slots_for_nested_calls) {
    absl::Time now = start;
    slot_limiter limiter = limiter_with_nested_calls(now);
    BOOST_TEST(limiter.reserved_slots(now) == 1);
    for (request_id id = 1; id <= 3; ++id) {
        BOOST_TEST((limiter.offer(request(id, now, false), now).result == admission::verdict::run));
    }
    BOOST_TEST((limiter.offer(request(4, now, false), now).result == admission::verdict::queued));
    BOOST_TEST((limiter.wait_of(0, now) > absl::ZeroDuration()));
    BOOST_TEST((limiter.offer(request(5, now, true), now).result == admission::verdict::run));
    BOOST_TEST((limiter.offer(request(6, now, true), now).result == admission::verdict::queued));
    // The slot of a nested call goes to the next one, and then stays free.
    BOOST_TEST(limiter.finish(5, now).run == std::vector<request_id>{6}, boost::test_tools::per_element());
    BOOST_TEST(limiter.finish(6, now).run.empty());
    BOOST_TEST(limiter.finish(1, now).run == std::vector<request_id>{4}, boost::test_tools::per_element());
}

// Guards against new work that stays queued after the nested calls have ended.
BOOST_AUTO_TEST_CASE(releases_the_slots_when_nested_calls_end) {
    absl::Time now = start;
    slot_limiter limiter = limiter_with_nested_calls(now);
    for (request_id id = 1; id <= 4; ++id) {
        slot_request patient = request(id, now, false);
        patient.deadline = now + absl::Seconds(60);
        patient.target_time = now + absl::Seconds(30);
        limiter.offer(patient, now);
    }
    BOOST_TEST(limiter.running() == 3);
    BOOST_TEST(limiter.start_permitted(now + absl::Seconds(2)).run.empty());
    // The demand of one slot is below 0.02 after four times the decay of 3 s.
    BOOST_TEST(limiter.start_permitted(now + absl::Seconds(12)).run == std::vector<request_id>{4},
               boost::test_tools::per_element());
}

// Guards against any change for a service without nested calls: both limiters decide alike for a random load of twice
// the capacity.
BOOST_AUTO_TEST_CASE(nothing_changes_without_nested_calls) {
    constexpr std::uint64_t seed = 3;
    std::mt19937_64 random(seed);
    slot_limiter with(6, 16, {.order = queue_order::target_first, .max_nested_reserve = 0.5});
    slot_limiter without(6, 16, {.order = queue_order::target_first});
    std::vector<request_id> running;
    absl::Time now = start;
    int different = 0;
    for (request_id id = 1; id <= 20'000; ++id) {
        now += absl::Milliseconds(5);
        slot_request offered = request(id, now, false);
        offered.priority = static_cast<int>(random() % 3);
        offered.target_time = now + absl::Milliseconds(100 + random() % 400);
        const admission answer = with.offer(offered, now);
        different += answer.result != without.offer(offered, now).result;
        if (answer.result == admission::verdict::run) {
            running.push_back(id);
        }
        if (!running.empty() && random() % 2 == 0) {
            const std::size_t chosen = random() % running.size();
            const slot_change change = with.finish(running[chosen], now);
            const slot_change other = without.finish(running[chosen], now);
            different += change.run != other.run || change.dropped != other.dropped;
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(chosen));
            running.insert(running.end(), change.run.begin(), change.run.end());
        }
        different += with.expire(now) != without.expire(now);
        different += with.wait_of(1, now) != without.wait_of(1, now);
    }
    BOOST_TEST(different == 0, "seed " << seed);
}

BOOST_AUTO_TEST_SUITE_END()
