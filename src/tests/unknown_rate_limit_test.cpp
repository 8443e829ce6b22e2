#include "fakes/platform_host.h"
#include "fakes/platform_store.h"
#include "routing/slot_limiter.h"
#include "routing/unknown_rate_limit.h"

#include <absl/time/clock.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(unknown_rate_limit_test)

namespace {

absl::Time at(int ms) {
    return absl::FromUnixSeconds(1'700'000'000) + absl::Milliseconds(ms);
}

slot_request request(request_id id) {
    slot_request result;
    result.id = id;
    result.deadline = at(5000);
    result.target_time = at(2000);
    result.kind = "read";
    return result;
}

/// @return how many of @p count new requests run at once.
int offer(slot_limiter& limiter, int count, absl::Time now, request_id first = 1) {
    int running = 0;
    for (int index = 0; index < count; ++index) {
        running += limiter.offer(request(first + index), now).result == admission::verdict::run ? 1 : 0;
    }
    return running;
}

constexpr int slots = 12;
constexpr int first_requests = unknown_rate_limit::max_running;

} // namespace

// Guards against a restarted owner that fills all slots of an upstream before it knows its limit, and against requests
// that wait on after a response has said that there is none.
BOOST_AUTO_TEST_CASE(few_requests_run_until_the_limit_is_known) {
    slot_limiter limiter(slots, 24, {.order = queue_order::target_first});
    limiter.rate_limit_knowledge().begin();
    BOOST_TEST(offer(limiter, slots, at(0)) == first_requests);
    BOOST_TEST(limiter.queued() == slots - first_requests);
    BOOST_TEST(limiter.start_permitted(at(50)).run.empty());
    // The first request ends without a response that says anything of a limit, such as a lost connection.
    BOOST_TEST(limiter.finish(1, at(100)).run.size() == 1U);
    BOOST_TEST(limiter.set_rate_limit(std::nullopt, at(150)).run.size() ==
               static_cast<std::size_t>(slots - first_requests - 1));
    BOOST_TEST(offer(limiter, 2, at(150), 100) == 1);
}

// Guards against a limit that is named by the first response and does not apply to the requests that waited for it.
BOOST_AUTO_TEST_CASE(named_limit_applies_to_waiting_requests) {
    slot_limiter limiter(slots, 24, {.order = queue_order::target_first});
    limiter.rate_limit_knowledge().begin();
    BOOST_TEST(offer(limiter, slots, at(0)) == first_requests);
    std::size_t started = limiter.set_rate_limit(1, at(100)).run.size();
    for (int ms = 100; ms <= 1900; ms += 5) {
        started += limiter.start_permitted(at(ms)).run.size();
    }
    BOOST_TEST(started <= 1U); // The limit counts the first requests as well.
}

// Guards against an upstream that gets one request at a time for long because the response to the first one does not
// come, and against health checks that nothing needs.
BOOST_AUTO_TEST_CASE(late_response_is_followed_by_health_checks) {
    unknown_rate_limit limit;
    limit.on_start(at(0));
    BOOST_TEST(!limit.take_due_check(at(10'000)));
    limit.begin();
    BOOST_TEST(limit.usable_slots(slots) == first_requests);
    BOOST_TEST(!limit.take_due_check(at(20'000)));
    limit.on_start(at(20'000));
    limit.on_start(at(20'300));
    BOOST_TEST(!limit.ends_with_check(at(20'400))); // That of the recall.
    int checks = 0;
    for (int ms = 20'000; ms < 22'400; ms += 100) {
        checks += limit.take_due_check(at(ms)) ? 1 : 0;
    }
    BOOST_TEST(checks == 2);
    BOOST_TEST(limit.ends_with_check(at(22'400)));
    limit.end();
    BOOST_TEST(limit.usable_slots(slots) == slots);
    BOOST_TEST(!limit.take_due_check(at(30'000)));
}

namespace {

constexpr int caller_count = 24;

/// Waits until the daemon has saved its upstream for its next run.
bool wait_for_registration(const platform_store& store, const platform_host& host) {
    const std::string key = "mesh/daemons/" + to_string(host.peer_address());
    const absl::Time until = absl::Now() + absl::Seconds(10);
    while (store.value_of(key).find(host.upstream_id()) == std::string::npos) {
        if (absl::Now() >= until) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(20));
    }
    return true;
}

/// Sends requests of many callers side by side.
class callers {
public:
    explicit callers(const platform_host& host) {
        for (int index = 0; index < caller_count; ++index) {
            m_threads.emplace_back([this, &host] {
                while (!m_is_over) {
                    const auto answer = host.client().Get("/reads/x");
                    m_served += answer && answer->status == 200 ? 1 : 0;
                    absl::SleepFor(absl::Milliseconds(20));
                }
            });
        }
    }
    ~callers() {
        m_is_over = true;
        for (std::thread& thread : m_threads) {
            thread.join();
        }
    }
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    int served() const {
        return m_served;
    }

private:
    std::atomic<bool> m_is_over = false;
    std::atomic<int> m_served = 0;
    std::vector<std::thread> m_threads;
};

/// @return the largest number of requests that the upstream runs at once within @p period.
int most_running(const platform_host& host, absl::Duration period) {
    int most = 0;
    for (const absl::Time until = absl::Now() + period; absl::Now() < until; absl::SleepFor(absl::Milliseconds(5))) {
        most = std::max(most, host.upstream.running_requests());
    }
    return most;
}

struct recall_row {
    const char* name;
    bool does_health_check_name_id; ///< Otherwise the daemon hears of the upstream by a heartbeat.

    friend std::ostream& operator<<(std::ostream& out, const recall_row& row) {
        return out << row.name;
    }
};

const recall_row recall_rows[] = {{"recalled by a health check", true}, {"heard of by a heartbeat", false}};

/// What the platform allows in any window of 4 s at a limit of 1/s.
constexpr std::size_t allowed_in_window = 11;

} // namespace

// Guards against a daemon that is restarted beside an upstream with a limit and admits as many requests as it has slots
// before a response names the limit again. Plays it with real processes.
BOOST_DATA_TEST_CASE(limit_holds_over_a_restart, recall_rows, row) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    fake_upstream_behavior behavior;
    behavior.headers = {{"X-Response-Signature", "test"}};
    behavior.delay = absl::Milliseconds(150);
    if (row.does_health_check_name_id) {
        behavior.headers["X-Instance-Id"] = host.upstream_id();
    }
    host.upstream.set_behavior(behavior);
    BOOST_REQUIRE(host.start_upstream());
    BOOST_REQUIRE(!row.does_health_check_name_id || wait_for_registration(store, host));
    behavior.headers["Server-Limit"] = "1";
    host.upstream.set_behavior(behavior);
    host.client().Get("/reads/x");
    const std::size_t before = host.upstream.execution_counts().size();
    host.kill();
    host.start();
    BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
    const callers running(host);
    if (row.does_health_check_name_id) {
        BOOST_REQUIRE(host.wait_for_log("upstream-recalled upstream=" + host.upstream_id() + " is_used=true"));
    } else {
        BOOST_REQUIRE(host.announce(2) == 200);
    }
    absl::SleepFor(absl::Seconds(4));
    const std::size_t sent = host.upstream.execution_counts().size() - before;
    BOOST_TEST_MESSAGE(row.name << ": " << sent << " requests in 4 s");
    BOOST_TEST(sent >= 3U);
    BOOST_TEST(sent < allowed_in_window, host.log());
}

// Guards against an upstream without a limit that gets one request at a time for longer than one response takes, and
// against an upstream that starts beside a running daemon and gets one request at a time at first.
BOOST_DATA_TEST_CASE(upstream_without_a_limit_is_used_at_once, boost::unit_test::data::make({false, true}), is_new) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    host.set_upstream_delay(absl::Milliseconds(400));
    BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
    std::string heartbeat = host.heartbeat(1, "ready");
    const std::size_t born = heartbeat.find("\"born\":") + 7;
    if (is_new) {
        heartbeat.replace(born, heartbeat.find(',', born) - born, std::to_string(absl::ToUnixMillis(absl::Now())));
    }
    const callers running(host);
    httplib::Client control(host.control_address().address, 21004);
    const auto accepted = control.Put("/amaranthladder/instances/" + host.upstream_id(), heartbeat, "application/json");
    BOOST_REQUIRE(accepted);
    BOOST_REQUIRE(accepted->status == 200);
    const int at_first = most_running(host, absl::Milliseconds(300));
    BOOST_TEST(at_first >= (is_new ? 8 : 1), host.log());
    BOOST_TEST(most_running(host, absl::Milliseconds(600)) >= 8, host.log());
    BOOST_TEST(running.served() > 0);
}

// Guards against an upstream whose first response does not come: a health check ends the wait of the other requests.
BOOST_AUTO_TEST_CASE(health_check_ends_the_wait_for_a_late_response) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    fake_upstream_behavior behavior;
    behavior.headers = {{"X-Response-Signature", "test"}, {"X-Instance-Id", host.upstream_id()}};
    host.upstream.set_behavior(behavior);
    BOOST_REQUIRE(host.wait_for_status("/elsewhere", 404));
    BOOST_REQUIRE(host.announce(1) == 200);
    behavior.delay = absl::Seconds(4);
    host.upstream.set_behavior(behavior);
    std::atomic<bool> has_ended = false;
    std::thread late([&] {
        // Until the daemon uses its upstream, requests are refused at once.
        host.wait_for_status("/reads/late", 200);
        has_ended = true;
    });
    host.upstream.wait_for_running_request();
    behavior.delay = absl::ZeroDuration();
    host.upstream.set_behavior(behavior);
    const absl::Time sent_at = absl::Now();
    BOOST_TEST(host.wait_for_status("/reads/x", 200, absl::Seconds(3)), host.log());
    BOOST_TEST_MESSAGE("waited " << absl::FormatDuration(absl::Now() - sent_at));
    BOOST_TEST(!has_ended);
    late.join();
}

BOOST_AUTO_TEST_SUITE_END()
