#include "routing/slot_limiter.h"
#include "routing/start_rate.h"
#include "test_seed.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <ostream>
#include <random>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(start_rate_test)

absl::Time at(int ms) {
    return absl::FromUnixSeconds(1'700'000'000) + absl::Milliseconds(ms);
}

/// What the platform allows in any window: this multiple of the limit, and this number of requests beside it.
constexpr double allowed_factor = 1.5;
constexpr int allowed_extra = 5;
constexpr absl::Duration window = absl::Seconds(4);
/// Time after an upstream has first named its limit from which on windows count.
constexpr absl::Duration first_window_end = absl::Seconds(3);

/// @return the largest number of starts in a window that ends at @p counted_from or later.
std::size_t busiest_window(const std::vector<absl::Time>& starts, absl::Time counted_from) {
    std::size_t busiest = 0;
    for (auto last = starts.begin(); last != starts.end(); ++last) {
        const absl::Time end = std::max(*last, counted_from);
        const auto first = std::upper_bound(starts.begin(), last, end - window);
        busiest = std::max(busiest, static_cast<std::size_t>(last - first) + 1);
    }
    return busiest;
}

struct load_row {
    const char* name;
    double limit;
    int starts_per_second_before;
    int offers_per_second;
    int slots;

    friend std::ostream& operator<<(std::ostream& out, const load_row& row) {
        return out << row.name;
    }
};

const load_row load_rows[] = {
    {"a half of what it got", 20, 48, 60, 6},          {"a fifth of what it got", 10, 48, 60, 6},
    {"a twentieth of what it got", 5, 100, 120, 12},   {"a few requests a second", 3, 6, 30, 6},
    {"one request every two seconds", 0.5, 40, 60, 6}, {"no request at all", 0, 40, 60, 6},
    {"more than the slots can run", 500, 48, 60, 6},
};

// Guards against an upstream that gets more than its limit in some window, also in the one that begins before the limit
// was named: steady overload of one upstream, service time 80 ms.
BOOST_DATA_TEST_CASE(no_window_exceeds_the_limit_under_steady_overload, load_rows, row) {
    slot_limiter limiter(row.slots, 24, {.order = queue_order::target_first});
    std::vector<absl::Time> starts;
    std::deque<std::pair<absl::Time, request_id>> running;
    request_id next_id = 1;
    const auto run = [&](request_id id, absl::Time now) {
        starts.push_back(now);
        running.emplace_back(now + absl::Milliseconds(80), id);
    };
    const auto apply = [&](const slot_change& change, absl::Time now) {
        for (const request_id id : change.run) {
            run(id, now);
        }
    };
    constexpr int limited_from_ms = 2000;
    double offered = 0;
    for (int ms = 0; ms < 20'000; ++ms) {
        const absl::Time now = at(ms);
        if (ms == limited_from_ms) {
            apply(limiter.set_rate_limit(row.limit, now), now);
        }
        while (!running.empty() && running.front().first <= now) {
            const request_id id = running.front().second;
            running.pop_front();
            apply(limiter.finish(id, now), now);
        }
        limiter.expire(now);
        apply(limiter.start_permitted(now), now);
        offered += (ms < limited_from_ms ? row.starts_per_second_before : row.offers_per_second) / 1000.0;
        for (; offered >= 1; --offered) {
            slot_request request;
            request.id = next_id++;
            request.deadline = now + absl::Seconds(2);
            request.target_time = now + absl::Milliseconds(400);
            request.kind = "read";
            if (limiter.offer(request, now).result == admission::verdict::run) {
                run(request.id, now);
            }
        }
    }
    const double allowed = allowed_factor * row.limit * absl::ToDoubleSeconds(window) + allowed_extra;
    // The first windows begin a second before the limit was named. Where that second alone exceeds them, only what
    // started under the limit can be kept within it.
    std::vector<absl::Time> counted = starts;
    if (row.starts_per_second_before > allowed) {
        std::erase_if(counted, [&](absl::Time t) { return t < at(limited_from_ms); });
    }
    const std::size_t busiest = busiest_window(counted, at(limited_from_ms) + first_window_end);
    BOOST_TEST(static_cast<double>(busiest) <= allowed);
    // The upstream gets what it takes, in the ten seconds after a few for the excess before the limit.
    const auto late = std::count_if(starts.begin(), starts.end(), [&](absl::Time t) { return t >= at(10'000); });
    const double wanted = std::min({row.limit, static_cast<double>(row.offers_per_second), row.slots / 0.08});
    BOOST_TEST(static_cast<double>(late) >= 0.9 * wanted * 10 - 1);
}

// Guards against limits that are exceeded when they change often: each change alone must not open a new burst.
BOOST_AUTO_TEST_CASE(changing_limits_add_no_bursts) {
    const std::uint64_t seed = test_seed();
    BOOST_TEST_CONTEXT("seed " << seed) {
        std::mt19937_64 random(seed);
        start_rate rate;
        std::vector<absl::Time> starts;
        for (int ms = 0; ms < 60'000; ++ms) {
            if (ms % 50 == 0) {
                rate.set_limit(10 + static_cast<double>(random() % 1000) / 1000, at(ms));
            }
            if (rate.may_start(at(ms))) {
                rate.on_start(at(ms));
                starts.push_back(at(ms));
            }
        }
        BOOST_TEST(busiest_window(starts, at(3000)) <= allowed_factor * 11 * 4 + allowed_extra);
        BOOST_TEST(starts.size() >= 60 * 10 * 0.8);
    }
}

// Guards against a request that waits at a limited upstream although it surely cannot be answered in time there.
BOOST_AUTO_TEST_CASE(request_that_must_wait_too_long_is_refused_at_once) {
    slot_limiter limiter(6, 24, {.order = queue_order::target_first});
    limiter.set_rate_limit(2, at(0));
    slot_request request;
    request.deadline = at(1200);
    request.target_time = at(400);
    request.kind = "read";
    for (request_id id = 1; id <= 8; ++id) {
        request.id = id;
        limiter.offer(request, at(0));
    }
    // Two requests start within the deadline, at 500 and 1,000 ms.
    BOOST_TEST(limiter.queued() <= 2);
    BOOST_TEST((limiter.backlog(at(0)) >= absl::Milliseconds(500)));
}

// Guards against a less urgent request that takes the next start of a limited upstream from a more urgent one.
BOOST_AUTO_TEST_CASE(next_start_goes_to_the_most_urgent_request) {
    slot_limiter limiter(6, 24, {.order = queue_order::target_first});
    limiter.set_rate_limit(10, at(0));
    slot_request request;
    request.deadline = at(2000);
    request.target_time = at(1000);
    request.kind = "read";
    request.id = 1;
    request.priority = 2;
    BOOST_TEST((limiter.offer(request, at(0)).result == admission::verdict::queued));
    request.id = 2;
    request.priority = 1;
    BOOST_TEST((limiter.offer(request, at(1)).result == admission::verdict::queued));
    BOOST_TEST(limiter.start_permitted(at(50)).run.empty());
    BOOST_TEST(limiter.start_permitted(at(101)).run == std::vector<request_id>{2}, boost::test_tools::per_element());
}

// Guards against a limit that goes on after it has been lifted.
BOOST_AUTO_TEST_CASE(lifted_limit_starts_what_waits) {
    slot_limiter limiter(2, 24);
    limiter.set_rate_limit(1, at(0));
    limiter.offer(1, at(60'000), at(0));
    limiter.offer(2, at(60'000), at(0));
    BOOST_TEST(limiter.set_rate_limit(std::nullopt, at(10)).run.size() == 2U);
    BOOST_TEST((limiter.backlog(at(10)) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_SUITE_END()
