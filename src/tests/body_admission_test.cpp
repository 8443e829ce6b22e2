#include "routing/body_admission.h"

#include <boost/test/unit_test.hpp>

#include <absl/random/random.h>

#include <algorithm>
#include <map>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(body_admission_test)

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr double link_rate = 13e6 / 8; ///< 13 Mbit/s, the link of most hosts.

body_admission_policy link_policy() {
    body_admission_policy policy;
    policy.link_bytes_per_second = link_rate;
    return policy;
}

// Guards against bodies that fill a host's link, behind which responses of nested calls wait for hundreds of
// milliseconds. Load: uploads of 60 kB on average, 1.5 times what a link of 13 Mbit/s carries.
BOOST_AUTO_TEST_CASE(uploads_beyond_the_link) {
    body_admission admission(link_policy());
    std::mt19937 random(1);
    std::lognormal_distribution<double> sizes(std::log(50'000), 0.6);
    std::exponential_distribution<double> gaps(1.5 * link_rate / 60'000);
    constexpr absl::Duration patience = absl::Milliseconds(400);
    std::map<request_id, std::size_t> bytes;
    std::map<request_id, absl::Time> offered_at;
    std::vector<request_id> under_way;
    std::map<request_id, double> left;
    double next_arrival = 0;
    request_id next_id = 1;
    int complete = 0;
    int late = 0;
    double received = 0;
    std::size_t most_under_way = 0;
    for (int tick = 0; tick < 20'000; ++tick) {
        const absl::Time now = start + absl::Milliseconds(tick);
        const auto receive = [&](request_id id) {
            under_way.push_back(id);
            left[id] = static_cast<double>(bytes[id]);
        };
        while (next_arrival <= tick / 1000.0) {
            next_arrival += gaps(random);
            const request_id id = next_id++;
            bytes[id] = static_cast<std::size_t>(std::min(sizes(random), 360'000.0));
            offered_at[id] = now;
            if (admission.offer({id, bytes[id], now + patience}, now) == body_admission::verdict::receive) {
                receive(id);
            }
        }
        double capacity = link_rate / 1000;
        while (capacity > 0 && !under_way.empty()) {
            const request_id id = under_way.front();
            const double part = std::min(capacity, left[id]);
            left[id] -= part;
            capacity -= part;
            received += part;
            if (left[id] <= 0) {
                admission.on_transferred(id);
                admission.release(id);
                under_way.erase(under_way.begin());
                ++complete;
                late += now > offered_at[id] + patience + absl::Milliseconds(100) ? 1 : 0;
            }
        }
        admission.expire(now);
        for (const request_id id : admission.start_waiting(now)) {
            receive(id);
        }
        std::size_t total = 0;
        for (const request_id id : under_way) {
            total += bytes[id];
        }
        most_under_way = std::max(most_under_way, total);
    }
    // The link stays busy, what is received comes in time, and other requests wait for one body or 80 ms at the most.
    BOOST_TEST(received > 0.95 * 20 * link_rate);
    BOOST_TEST(late == 0);
    BOOST_TEST(complete > 400);
    BOOST_TEST(most_under_way <= std::max<std::size_t>(360'000, static_cast<std::size_t>(0.08 * link_rate)));
}

// Guards against a request that is asked for its body although it can only be refused afterwards.
BOOST_AUTO_TEST_CASE(refuses_before_the_body_what_would_come_too_late) {
    body_admission admission(link_policy());
    BOOST_TEST((admission.offer({1, 120'000, start + absl::Seconds(1)}, start) == body_admission::verdict::receive));
    BOOST_TEST(
        (admission.offer({2, 120'000, start + absl::Milliseconds(100)}, start) == body_admission::verdict::refused));
    BOOST_TEST(
        (admission.offer({3, 60'000, start + absl::Seconds(1), false}, start) == body_admission::verdict::refused));
    BOOST_TEST((admission.offer({4, 60'000, start + absl::Milliseconds(200)}, start) == body_admission::verdict::wait));
    BOOST_TEST(admission.expire(start + absl::Milliseconds(100)).empty());
    BOOST_TEST(admission.expire(start + absl::Milliseconds(190)) == std::vector<request_id>{4});
    BOOST_TEST(admission.waiting() == 0);
}

// Guards against senders that send a byte now and then and keep all other bodies waiting.
BOOST_AUTO_TEST_CASE(slow_senders_do_not_block_others) {
    body_admission admission(link_policy());
    BOOST_TEST((admission.offer({1, 360'000}, start) == body_admission::verdict::receive));
    BOOST_TEST((admission.offer({2, 60'000}, start) == body_admission::verdict::wait));
    BOOST_TEST(admission.start_waiting(start + absl::Milliseconds(500)).empty());
    BOOST_TEST(admission.start_waiting(start + absl::Seconds(1)) == std::vector<request_id>{2});
}

// Guards against unbounded memory: bodies that are complete count until their requests have ended.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
    body_admission_policy policy;
    policy.max_held_bytes = 1'000'000;
    policy.max_held_bytes_per_body = 3'000'000;
    body_admission admission(policy);
    for (request_id id = 1; id <= 2; ++id) {
        BOOST_TEST((admission.offer({id, 400'000}, start) == body_admission::verdict::receive));
        admission.on_transferred(id);
    }
    BOOST_TEST((admission.offer({3, 400'000}, start) == body_admission::verdict::wait));
    BOOST_TEST((admission.offer({4, 2'000'000}, start) == body_admission::verdict::refused));
    BOOST_TEST(admission.start_waiting(start).empty());
    admission.release(1);
    BOOST_TEST(admission.start_waiting(start) == std::vector<request_id>{3});
}

// Guards against a refusal of a body that is larger than all memory for bodies: it is passed on while it arrives.
BOOST_AUTO_TEST_CASE(large_bodies_are_streamed) {
    body_admission admission({});
    BOOST_TEST((admission.offer({1, 100'000'000}, start) == body_admission::verdict::receive));
}

BOOST_AUTO_TEST_SUITE_END()
