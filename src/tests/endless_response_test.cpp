#include "fakes/resident_memory.h"
#include "fakes/two_daemons.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(endless_response_test)

namespace {

constexpr int caller_count = 12;
constexpr absl::Duration route_timeout = absl::Seconds(1);
/// Time after the route's timeout by which everything held by a request must be released.
constexpr absl::Duration release_limit = absl::Milliseconds(500);
/// Allowance for thread scheduling in checks of times.
constexpr absl::Duration scheduling_allowance = absl::Milliseconds(500);
constexpr long max_growth_kib = 16L * 1024;

/// What the callers of one endless response saw.
struct caller_results {
    int successes = 0;
    int not_run = 0;
    absl::Duration longest;
};

caller_results call_all(const two_daemons& mesh, const std::string& path) {
    absl::Mutex mutex;
    caller_results results;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int number = 0; number < caller_count; ++number) {
        callers.emplace_back([&] {
            auto client = mesh.client();
            const absl::Time started_at = absl::Now();
            const auto discard = [](const char* /*bytes*/, std::size_t /*size*/) { return true; };
            const auto answer = client.Get(path, discard);
            const absl::MutexLock lock(&mutex);
            results.longest = std::max(results.longest, absl::Now() - started_at);
            results.successes += answer && answer->status < 300 ? 1 : 0;
            results.not_run += answer && answer->get_header_value("x-amaranthladder-outcome") == "not-run" ? 1 : 0;
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    return results;
}

} // namespace

// Guards against an upstream whose response never ends and that so holds callers, slots, connections or memory past
// the request's time, and against such bytes passed off as a complete response.
BOOST_DATA_TEST_CASE(endless_responses_end_with_the_deadline, unfinished_kinds, kind) {
    two_daemons mesh(caller_count);
    mesh.set_route_timeout(route_timeout);
    auto client = mesh.client();
    BOOST_REQUIRE(client.Get("/x")->status == 200);
    const long before_kib = resident_kib(::getpid());
    const caller_results results = call_all(mesh, "/endless/" + std::string(name(kind)));
    BOOST_TEST(results.successes == 0);
    BOOST_TEST(results.not_run == 0);
    BOOST_TEST((results.longest < route_timeout + release_limit + scheduling_allowance),
               absl::FormatDuration(results.longest));
    absl::SleepFor(scheduling_allowance);
    // Only the pooled connection of the first request is left.
    BOOST_TEST(mesh.upstream.open_connections() <= 1);
    BOOST_TEST(resident_kib(::getpid()) - before_kib < max_growth_kib);
    const auto next = client.Get("/x");
    BOOST_REQUIRE(next);
    BOOST_TEST(next->status == 200);
}

// Guards against a caller that keeps a connection with a body of which a byte arrives now and then.
BOOST_AUTO_TEST_CASE(dripping_request_body_ends_with_the_deadline) {
    two_daemons mesh;
    raw_connection caller(mesh.entry->address(), absl::Milliseconds(50));
    BOOST_REQUIRE(caller.send("POST /x HTTP/1.1\r\nHost: x\r\nx-amaranthladder-deadline-ms: 1000\r\n"
                              "Content-Length: 100000\r\n\r\n"));
    const absl::Time started_at = absl::Now();
    const absl::Time limit = started_at + route_timeout + release_limit + scheduling_allowance;
    while (absl::Now() < limit && caller.send("b")) {
        absl::SleepFor(absl::Milliseconds(20));
    }
    BOOST_TEST((absl::Now() < limit));
    BOOST_TEST(mesh.upstream.execution_counts().empty());
}

const endless_kind surplus_kinds[] = {endless_kind::surplus, endless_kind::late_surplus, endless_kind::late_duplicate};

// Guards against a connection that is used again although bytes of no response, or a second copy of a response, are on
// the way. The next request on it would wait for its deadline or get the response to another request.
BOOST_DATA_TEST_CASE(requests_after_surplus_bytes_are_answered, surplus_kinds, kind) {
    two_daemons mesh(caller_count);
    mesh.set_route_timeout(route_timeout);
    auto client = mesh.client();
    constexpr int rounds = 20;
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto surplus = client.Get("/endless/" + std::string(name(kind)));
        BOOST_TEST((surplus && surplus->body == "whole\n"));
        const std::string order = "order " + std::to_string(round);
        const auto next = client.Post("/x", order, "text/plain");
        BOOST_REQUIRE(next);
        BOOST_TEST((next->status != 200 || next->body == order), next->body);
        answered += next->status == 200 ? 1 : 0;
    }
    // The first bytes cannot be expected by anyone; afterwards the upstream is known to send them.
    BOOST_TEST(answered >= rounds - 1);
}

BOOST_AUTO_TEST_SUITE_END()
