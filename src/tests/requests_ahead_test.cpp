#include "fakes/two_daemons.h"

#include <absl/time/clock.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(requests_ahead_test)

namespace {

std::string get(const std::string& path, const std::string& headers = "") {
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nx-caller-id: " + path + "\r\n" + headers + "\r\n";
}

std::string post(const std::string& path, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nx-caller-id: " + path +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++found;
    }
    return found;
}

} // namespace

// Guards against requests sent ahead that wait for the response before theirs, and against responses in another order.
BOOST_DATA_TEST_CASE(are_served_side_by_side_in_order, boost::unit_test::data::make({true, false}), through_entry) {
    two_daemons mesh;
    raw_connection caller(through_entry ? mesh.entry->address() : mesh.owner->address(), absl::Seconds(5));
    std::string requests = get("/wait/400");
    for (int number = 1; number <= 8; ++number) {
        requests += get("/bytes/" + std::to_string(number));
    }
    requests += get("/wait/390");
    const absl::Time started_at = absl::Now();
    BOOST_REQUIRE(caller.send(requests));
    const std::string received = caller.receive_until("HTTP/1.1 200", 10);
    const absl::Duration took = absl::Now() - started_at;
    BOOST_TEST(count(received, "HTTP/1.1 200") == 10U);
    BOOST_TEST((took < absl::Milliseconds(750)), absl::FormatDuration(took));
    std::size_t at = 0;
    for (int number = 1; number <= 8; ++number) {
        at = received.find("\r\n\r\n" + std::string(static_cast<std::size_t>(number), 'b') + "HTTP", at);
        BOOST_REQUIRE(at != std::string::npos);
    }
}

// Guards against a request that may not be repeated and runs beside others, or overtakes one in front of it.
BOOST_AUTO_TEST_CASE(unrepeatable_request_runs_alone) {
    two_daemons mesh;
    raw_connection caller(mesh.entry->address(), absl::Seconds(5));
    BOOST_REQUIRE(caller.send(get("/wait/200") + post("/order", "hoops") + get("/bytes/3")));
    absl::SleepFor(absl::Milliseconds(100));
    BOOST_TEST(!mesh.upstream.execution_counts().contains("/order"));
    BOOST_TEST(!mesh.upstream.execution_counts().contains("/bytes/3"));
    const std::string received = caller.receive_until("bbb");
    BOOST_TEST(count(received, "HTTP/1.1 200") == 3U);
    BOOST_TEST((received.find("hoops") < received.find("bbb")));
    BOOST_TEST(mesh.upstream.execution_counts()["/order"] == 1);
}

// Guards against requests behind a response that closes the connection that run although their caller sends them again.
BOOST_AUTO_TEST_CASE(nothing_runs_behind_a_closing_response) {
    two_daemons mesh;
    raw_connection caller(mesh.entry->address(), absl::Seconds(2));
    BOOST_REQUIRE(caller.send(get("/wait/100", "Connection: close\r\n") + get("/bytes/3") + post("/order", "hoops")));
    const std::string received = caller.receive_all();
    BOOST_TEST(count(received, "HTTP/1.1 200") == 1U);
    absl::SleepFor(absl::Milliseconds(200));
    BOOST_TEST(!mesh.upstream.execution_counts().contains("/bytes/3"));
    BOOST_TEST(!mesh.upstream.execution_counts().contains("/order"));
}

// Guards against a malformed request that takes the responses to those in front of it with it.
BOOST_AUTO_TEST_CASE(malformed_request_ends_the_connection_in_its_turn) {
    two_daemons mesh;
    raw_connection caller(mesh.entry->address(), absl::Seconds(2));
    BOOST_REQUIRE(caller.send(get("/wait/150") + get("/bytes/5") + "\x01nonsense\r\n\r\n" + get("/bytes/7")));
    const std::string received = caller.receive_all();
    BOOST_TEST(count(received, "HTTP/1.1 200") == 2U);
    BOOST_TEST(count(received, "x-amaranthladder-code: 1412") == 1U);
    BOOST_TEST(received.find("bbbbb") < received.find("1412"));
    BOOST_TEST(!mesh.upstream.execution_counts().contains("/bytes/7"));
}

// Guards against a refusal in the middle that shifts the responses behind it to other requests.
BOOST_AUTO_TEST_CASE(refused_request_keeps_the_order) {
    two_daemons mesh;
    raw_connection caller(mesh.entry->address(), absl::Seconds(2));
    BOOST_REQUIRE(caller.send(get("/wait/150") + "DELETE /only-get/x HTTP/1.1\r\nHost: x\r\n\r\n" + get("/bytes/7")));
    const std::string received = caller.receive_until("bbbbbbb");
    BOOST_TEST(count(received, "HTTP/1.1 200") == 2U);
    BOOST_TEST(received.find("x-amaranthladder-code: 1417") != std::string::npos, received);
    BOOST_TEST((received.find("1417") < received.find("bbbbbbb")));
}

// Guards against work that goes on after a caller with requests ahead has left.
BOOST_AUTO_TEST_CASE(all_end_when_the_caller_leaves) {
    two_daemons mesh;
    {
        raw_connection caller(mesh.entry->address());
        BOOST_REQUIRE(caller.send(get("/wait/3000") + get("/wait/2900") + get("/wait/2800") + post("/order", "hoops")));
        mesh.upstream.wait_for_running_request();
        absl::SleepFor(absl::Milliseconds(100));
    }
    const absl::Time limit = absl::Now() + absl::Milliseconds(1000);
    while (mesh.upstream.open_connections() > 3 && absl::Now() < limit) {
        absl::SleepFor(absl::Milliseconds(10));
    }
    absl::SleepFor(absl::Milliseconds(300));
    BOOST_TEST(!mesh.upstream.execution_counts().contains("/order"));
    BOOST_TEST(mesh.client().Get("/x")->status == 200);
}

// Guards against requests sent ahead that are passed on and lose their answer when the daemon is stopped.
BOOST_AUTO_TEST_CASE(started_requests_are_answered_in_a_drain) {
    two_daemons mesh;
    raw_connection caller(mesh.entry->address(), absl::Seconds(3));
    BOOST_REQUIRE(caller.send(get("/wait/600") + get("/wait/500") + get("/bytes/5")));
    mesh.upstream.wait_for_running_request();
    absl::SleepFor(absl::Milliseconds(100));
    mesh.entry->drain(absl::Milliseconds(50));
    BOOST_TEST(count(caller.receive_until("HTTP/1.1 200", 3), "HTTP/1.1 200") == 3U);
}

// Guards against memory that grows with callers who send much and whose first request is never answered.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
    constexpr int connections = 200;
    constexpr int requests_each = 100;
    two_daemons mesh(64, 1000);
    fake_upstream_behavior behavior;
    behavior.is_silent = true;
    mesh.upstream.set_behavior(behavior);
    std::string requests;
    for (int number = 0; number < requests_each; ++number) {
        requests += get("/x");
    }
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int number = 0; number < connections; ++number) {
        callers.push_back(std::make_unique<raw_connection>(mesh.entry->address()));
        callers.back()->send(requests);
    }
    absl::SleepFor(absl::Milliseconds(300));
    // The entry reads at most the first request of each connection and the bound for all connections together.
    absl::SleepFor(absl::Milliseconds(1100));
    const proxy_counters counters = mesh.entry->counters();
    BOOST_TEST(counters.requests_in_flight <= connections + proxy_options{}.max_requests_ahead_total);
}

// Guards against a late request whose time starts when the response before it has been sent.
BOOST_AUTO_TEST_CASE(time_runs_from_the_arrival) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    mesh.upstream.set_behavior(behavior);
    mesh.set_route_timeout(absl::Milliseconds(600));
    raw_connection caller(mesh.entry->address(), absl::Seconds(3));
    const absl::Time started_at = absl::Now();
    BOOST_REQUIRE(caller.send(get("/wait/500") + get("/wait/5000")));
    const std::string received = caller.receive_until("HTTP/1.1 ", 2);
    BOOST_TEST(count(received, "HTTP/1.1 200") == 1U);
    BOOST_TEST(count(received, "HTTP/1.1 504") == 1U);
    BOOST_TEST((absl::Now() - started_at < absl::Milliseconds(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
