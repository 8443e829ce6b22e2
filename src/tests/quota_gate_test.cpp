#include "http/private/quota_gate.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Requests that wait for a token on the event loop, with one other daemon that does not answer.
BOOST_AUTO_TEST_SUITE(quota_gate_test)

using namespace amaranthladder;

namespace {

constexpr const char* tenant_name = "acme";

struct gate_fixture {
    gate_fixture() {
        auto state = std::make_shared<intended_state>();
        state->tenants[tenant_name].name = tenant_name;
        state->tenants[tenant_name].rate_per_second = 100;
        gate.set_configuration(state);
        gate.start({{"10.0.0.1", 7000}, {}, [this](const endpoint& /*to*/, const quota_message& message) {
                        sent.push_back(message);
                    }});
        gate.set_members({{{"10.0.0.2", 7000}, {}, "", member_state::alive, 0}}, true);
    }

    void request(std::uint64_t waiter, absl::Time deadline = absl::InfiniteFuture()) {
        asio::co_spawn(
            context,
            [this, waiter, deadline]() -> asio::awaitable<void> {
                verdict = co_await gate.acquire(tenant_name, waiter, deadline);
            },
            asio::detached);
    }

    steady_clock clock;
    event_log log{event_log_options{log_level::off, "", 64}};
    absl::BitGen random;
    std::vector<quota_message> sent;
    std::optional<quota_verdict> verdict;
    quota_gate gate{context, clock, log, random};
    asio::io_context context; // Destroyed before the gate, as in proxy_state.
};

} // namespace

BOOST_FIXTURE_TEST_CASE(only_tenants_with_a_rate_are_limited, gate_fixture) {
    BOOST_TEST(gate.is_limited(tenant_name));
    BOOST_TEST(!gate.is_limited("other"));
    BOOST_TEST(!gate.is_limited(""));
}

// Guards against requests that are held while no daemon can decide.
BOOST_FIXTURE_TEST_CASE(a_wait_ends_without_an_answer, gate_fixture) {
    request(1);
    const absl::Time started = clock.now();
    while (!verdict && clock.now() - started < absl::Seconds(5)) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    BOOST_REQUIRE(verdict.has_value());
    BOOST_TEST((verdict->result == quota_verdict::kind::refused_unknown));
    BOOST_TEST(clock.now() - started < absl::Seconds(1));
    BOOST_TEST(gate.report().requests.refused_unknown == 1U);
}

// Guards against requests that wait for a token past their route's timeout.
BOOST_FIXTURE_TEST_CASE(a_wait_ends_at_the_deadline, gate_fixture) {
    const absl::Time started = clock.now();
    request(1, started + absl::Milliseconds(50));
    while (!verdict && clock.now() - started < absl::Seconds(5)) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    BOOST_REQUIRE(verdict.has_value());
    BOOST_TEST((verdict->result == quota_verdict::kind::refused_unknown));
    BOOST_TEST(clock.now() - started >= absl::Milliseconds(50));
    BOOST_TEST(clock.now() - started < absl::Milliseconds(300));
}

// Guards against requests that wait on after their caller has left.
BOOST_FIXTURE_TEST_CASE(a_wait_ends_when_it_is_cancelled, gate_fixture) {
    request(1);
    context.poll();
    BOOST_TEST(!verdict.has_value());
    gate.cancel(tenant_name, 1);
    context.poll();
    BOOST_TEST(verdict.has_value());
}

// Guards against answers to requests whose coroutine was destroyed with the event loop.
BOOST_AUTO_TEST_CASE(suspended_requests_may_be_destroyed) {
    auto fixture = std::make_unique<gate_fixture>();
    fixture->request(1);
    fixture->context.poll();
    BOOST_TEST(!fixture->verdict.has_value());
    BOOST_CHECK_NO_THROW(fixture.reset());
}

BOOST_AUTO_TEST_SUITE_END()
