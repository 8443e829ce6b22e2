#include "fakes/two_daemons.h"
#include "routing/cold_start_limit.h"
#include "routing/slot_limiter.h"
#include "test_seed.h"

#include <absl/time/clock.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <ostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(cold_start_limit_test)

/// The bounds of site K.
constexpr double cold_rate = 14;
constexpr cold_start_policy policy{1.5, 8};
constexpr double allowed = cold_rate * 1.5 + 8;

absl::Time at(int ms) {
    return absl::FromUnixSeconds(1'700'000'000) + absl::Milliseconds(ms);
}

constexpr auto warm = absl::ZeroDuration();

/// An upstream whose callers send more than it takes; starts what its limit allows.
struct loaded_upstream {
    explicit loaded_upstream(cold_start_policy bounds = policy, double rate = cold_rate) : limit(bounds) {
        limit.set_rate(rate, at(0));
    }

    /// Offers a request each @p interval_ms until @p until_ms; @p each_ms is called before each.
    void run(
        int until_ms, int interval_ms = 5, const std::function<void(int)>& each_ms = [](int /*ms*/) {}) {
        for (; now_ms < until_ms; now_ms += interval_ms) {
            each_ms(now_ms);
            limit.take_due_check(at(now_ms));
            if (limit.may_start(at(now_ms))) {
                limit.on_start(at(now_ms));
                starts.push_back(now_ms);
                if (limit.is_limiting(at(now_ms))) {
                    busiest_while_cold = std::max(busiest_while_cold, count(now_ms - 999, now_ms + 1));
                }
            }
        }
    }

    /// @return the largest number of starts in a second that begins between two times.
    int busiest_second(int from_ms = 0, int to_ms = 1'000'000) const {
        int busiest = 0;
        for (const int first : starts) {
            if (first >= from_ms && first < to_ms) {
                busiest = std::max(busiest, static_cast<int>(std::ranges::count_if(
                                                starts, [&](int one) { return one >= first && one < first + 1000; })));
            }
        }
        return busiest;
    }

    int count(int from_ms, int to_ms) const {
        return static_cast<int>(std::ranges::count_if(starts, [&](int one) { return one >= from_ms && one < to_ms; }));
    }

    cold_start_limit limit;
    int now_ms = 0;
    std::vector<int> starts;
    int busiest_while_cold = 0; ///< Most starts in a second that ends with the start of a request while it is cold.
};

// Guards against an upstream that gets more than it tolerates from the first request on, while its state is unknown and
// while it reports to be cold, and against one that is left idle.
BOOST_AUTO_TEST_CASE(cold_upstream_gets_what_it_tolerates) {
    loaded_upstream upstream;
    upstream.run(1000);
    upstream.limit.on_heartbeat(absl::Seconds(3), at(1000));
    upstream.run(4000);
    BOOST_TEST(upstream.busiest_second() < allowed);
    BOOST_TEST(upstream.count(0, 4000) > cold_rate * 4);
    upstream.limit.on_heartbeat(warm, at(4000));
    upstream.run(5000);
    BOOST_TEST(upstream.count(4000, 5000) == 200);
    BOOST_TEST(!upstream.limit.limit(at(5000)).has_value());
}

// Guards against a second that spans the moment at which a busy upstream turns cold, for different loads before it.
BOOST_DATA_TEST_CASE(starts_before_the_upstream_turned_cold_count, boost::unit_test::data::make({5, 20, 50, 100, 200}),
                     interval_ms) {
    loaded_upstream upstream;
    upstream.limit.on_heartbeat(warm, at(0));
    upstream.run(2000, interval_ms);
    upstream.limit.on_heartbeat(absl::Seconds(3), at(2000));
    upstream.run(8000, 5, [&](int ms) {
        if (ms > 2000 && ms < 5000 && ms % 1500 == 0) {
            upstream.limit.on_heartbeat(absl::Milliseconds(5000 - ms), at(ms));
        }
    });
    const int before = upstream.count(1000, 2000);
    BOOST_TEST(upstream.busiest_second(1001, 4000) <= std::max<double>(allowed, before));
    // Seconds that end after the upstream turned cold get nothing beyond the bound.
    const int first_after = *std::ranges::upper_bound(upstream.starts, 1999);
    BOOST_TEST(upstream.count(first_after - 999, first_after + 1) <= allowed);
    BOOST_TEST(upstream.busiest_second(first_after - 999, 4000) < allowed);
    BOOST_TEST(upstream.count(5000, 8000) == 600);
}

struct event_row {
    const char* name;
    void (*happens)(cold_start_limit& limit, absl::Time now);
    bool is_checked;                ///< A health check is sent.
    bool is_first_report_effective; ///< A heartbeat that arrives at once cannot have been sent before.

    friend std::ostream& operator<<(std::ostream& out, const event_row& row) {
        return out << row.name;
    }
};

const event_row events[] = {
    {"new start", [](cold_start_limit& limit, absl::Time now) { limit.on_new_start(now); }, false, true},
    {"evacuation ended", [](cold_start_limit& limit, absl::Time now) { limit.on_event(now); }, false, false},
    {"connection failed", [](cold_start_limit& limit, absl::Time now) { limit.on_connection_failed(now); }, true,
     false},
    {"silence", [](cold_start_limit& /*limit*/, absl::Time /*now*/) {}, true, false},
};

// Guards against an upstream that counts as warm after an event because of a report that was sent before it, against
// health checks that are not needed, and against one that stays limited.
BOOST_DATA_TEST_CASE(unknown_state_is_cold_until_a_newer_report, events, row) {
    loaded_upstream upstream;
    upstream.limit.on_heartbeat(warm, at(0));
    const int event_ms = 3600;
    upstream.limit.take_due_check(at(event_ms - 200));
    BOOST_TEST(!upstream.limit.is_limiting(at(event_ms - 200)));
    row.happens(upstream.limit, at(event_ms));
    int checks = 0;
    for (int ms = event_ms; ms < event_ms + 200; ms += 50) {
        checks += upstream.limit.take_due_check(at(ms)) ? 1 : 0;
    }
    BOOST_TEST(upstream.limit.is_limiting(at(event_ms + 200)));
    BOOST_TEST(checks == (row.is_checked ? 1 : 0));
    upstream.limit.on_heartbeat(warm, at(event_ms + 200));
    BOOST_TEST(upstream.limit.is_limiting(at(event_ms + 200)) == !row.is_first_report_effective);
    upstream.limit.on_heartbeat(warm, at(event_ms + 1500));
    BOOST_TEST(!upstream.limit.is_limiting(at(event_ms + 1500)));
}

// Guards against a health check that was sent before an event and answered after it, and against the load of health
// checks: many connections fail at once, and again and again.
BOOST_AUTO_TEST_CASE(health_checks_are_few) {
    loaded_upstream upstream;
    int checks = 0;
    for (int ms = 0; ms < 20'000; ms += 20) {
        if (ms % 1500 == 0) {
            upstream.limit.on_heartbeat(warm, at(ms));
        }
        if (ms % 100 == 0) {
            upstream.limit.on_connection_failed(at(ms));
        }
        checks += upstream.limit.take_due_check(at(ms)) ? 1 : 0;
    }
    BOOST_TEST(checks <= 4);
    upstream.limit.on_heartbeat(warm, at(21'000));
    upstream.limit.on_connection_failed(at(21'100));
    upstream.limit.on_health_check(warm, at(21'090), at(21'110));
    BOOST_TEST(upstream.limit.is_limiting(at(21'110)));
    upstream.limit.on_health_check(warm, at(21'200), at(21'210));
    BOOST_TEST(!upstream.limit.is_limiting(at(21'210)));
    // It turns cold soon after the check.
    upstream.limit.on_heartbeat(absl::Seconds(3), at(21'220));
    BOOST_TEST(upstream.limit.is_limiting(at(21'220)));
}

// Guards against a service without a cold rate that is limited, or that costs health checks.
BOOST_AUTO_TEST_CASE(service_without_a_cold_rate_is_not_limited) {
    loaded_upstream upstream(policy, 0);
    upstream.limit.on_connection_failed(at(0));
    upstream.run(1000);
    BOOST_TEST(upstream.count(0, 1000) == 200);
    BOOST_TEST(!upstream.limit.take_due_check(at(1000)));
}

// Guards against more starts than the bound in any second, through random events, reports and loads, for this bound and
// others, seconds that begin while the upstream is warm included.
BOOST_DATA_TEST_CASE(bound_holds_through_random_events, boost::unit_test::data::xrange(40), round) {
    std::mt19937_64 random(test_seed() + static_cast<std::uint64_t>(round));
    const auto draw = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
    const double rate = draw(1, 40);
    const cold_start_policy bounds{1 + draw(0, 10) / 10.0, static_cast<double>(draw(0, 10))};
    loaded_upstream upstream(bounds, rate);
    int cold_until = 0; // By the account of the upstream itself.
    for (int step = 0; step < 60; ++step) {
        const int now = upstream.now_ms;
        switch (draw(0, 4)) {
        case 0:
            upstream.limit.on_new_start(at(now));
            cold_until = now + 3000;
            break;
        case 1:
            upstream.limit.on_connection_failed(at(now));
            break;
        default:
            upstream.limit.on_heartbeat(absl::Milliseconds(std::max(0, cold_until - now)), at(now));
            break;
        }
        upstream.run(now + draw(100, 1500), draw(2, 60));
    }
    BOOST_TEST(upstream.busiest_while_cold <= std::max(1.0, rate * bounds.overage + bounds.slack));
}

// Guards against an owner whose slots let through what the limit holds back, repeated sends included, against requests
// that wait in vain, and against entries that are not told the rate.
BOOST_AUTO_TEST_CASE(owner_refuses_what_cannot_start_in_time) {
    slot_limiter limiter(6, 64, {.order = queue_order::target_first, .cold = policy});
    limiter.cold_starts().set_rate(cold_rate, at(0));
    int started = 0;
    int refused = 0;
    int dropped = 0;
    request_id next = 1;
    for (int ms = 0; ms < 3000; ms += 5) {
        const auto count_started = [&](const std::vector<request_id>& run) {
            for (const request_id id : run) {
                ++started;
                limiter.finish(id, at(ms));
            }
        };
        const slot_request wanted{next++, at(ms + 600), "orders", at(ms + 300)};
        const admission offered = limiter.offer(wanted, at(ms));
        refused += offered.result == admission::verdict::refused ? 1 : 0;
        if (offered.result == admission::verdict::run) {
            count_started({wanted.id});
        }
        started += limiter.try_repeat(at(ms)) ? 1 : 0;
        dropped += static_cast<int>(limiter.expire(at(ms)).size());
        count_started(limiter.start_permitted(at(ms)).run);
    }
    BOOST_TEST(started > cold_rate * 3);
    BOOST_TEST(started < allowed * 3);
    BOOST_TEST(dropped <= 600 / 10);
    BOOST_TEST(refused > 400);
    BOOST_REQUIRE(limiter.rate_limit(at(3000)).has_value());
    BOOST_TEST(*limiter.rate_limit(at(3000)) < allowed);
    limiter.cold_starts().on_heartbeat(warm, at(3000));
    BOOST_TEST(!limiter.rate_limit(at(3000)).has_value());
}

// Guards against a cold upstream that gets more through real owners than it tolerates, and one that stays limited after
// its report.
BOOST_AUTO_TEST_CASE(cold_upstream_behind_its_owner) {
    two_daemons mesh(6, 24, [](proxy_options& options) { options.cold = policy; });
    auto state = std::make_shared<intended_state>();
    state->services["tienda"] = {"tienda", absl::Seconds(5), 24, {}};
    state->services["tienda"].cold_rate = cold_rate;
    state->routes["orders"] = {"orders", "tienda", "/", {}, route_kind::by_method, absl::Milliseconds(300), {}};
    mesh.entry->set_configuration(state);
    mesh.owner->set_configuration(state);
    absl::SleepFor(absl::Milliseconds(50));
    std::atomic<bool> is_over = false;
    std::vector<std::thread> callers;
    callers.reserve(6);
    for (int index = 0; index < 6; ++index) {
        callers.emplace_back([&, index] {
            auto client = mesh.client(index % 2 == 0);
            while (!is_over) {
                client.Get("/x");
                absl::SleepFor(absl::Milliseconds(5));
            }
        });
    }
    absl::SleepFor(absl::Seconds(2));
    const std::size_t cold_count = mesh.upstream.execution_counts().size();
    mesh.owner->report_heartbeat("tienda-1", warm);
    absl::SleepFor(absl::Seconds(1));
    const std::size_t warm_count = mesh.upstream.execution_counts().size() - cold_count;
    is_over = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    BOOST_TEST(static_cast<double>(cold_count) < 2 * allowed);
    // Half of what the tests without a network assert: on a busy machine the owner runs late.
    BOOST_TEST(static_cast<double>(cold_count) > cold_rate);
    BOOST_TEST(static_cast<double>(warm_count) > 2 * allowed);
}

BOOST_AUTO_TEST_SUITE_END()
