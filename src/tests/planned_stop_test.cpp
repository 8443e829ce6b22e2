#include "fakes/platform_host.h"
#include "fakes/platform_store.h"
#include "fakes/two_daemons.h"

#include <absl/time/clock.h>
#include <boost/test/unit_test.hpp>

#include <sys/wait.h>

#include <string>
#include <thread>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(planned_stop_test)

namespace {

constexpr absl::Duration answer_limit = absl::Seconds(10);

std::string get_message(const std::string& id) {
    return "GET /reads/x HTTP/1.1\r\nHost: x\r\nx-caller-id: " + id + "\r\n\r\n";
}

/// An order without its body, which has five bytes.
std::string order_head(const std::string& id) {
    return "POST /orders/x HTTP/1.1\r\nHost: x\r\nx-caller-id: " + id +
           "\r\nX-Deadline: 9000\r\nContent-Length: 5\r\n\r\n";
}

/// Two hosts of which only the second one has an upstream, so that the first one passes its requests on to the second.
struct two_hosts {
    platform_store store;
    platform_host stopped{with_configuration(store), 1};
    platform_host serving{store, 2};

    /// @return false if the first host does not reach the upstream.
    bool start() {
        return serving.start_upstream() && stopped.wait_for_status("/reads/x", 200);
    }

    static platform_store& with_configuration(platform_store& store) {
        put_test_configuration(store);
        return store;
    }
};

} // namespace

// Guards against a planned stop that cuts requests at which an upstream is at work although the platform lets the
// daemon run for longer (review case 2). The request needs longer than the 5.2 s after which a daemon of a platform
// with a grace period of 6 s must give up.
BOOST_AUTO_TEST_CASE(requests_may_take_as_long_as_the_platform_waits) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1, "grace_s=9,drain_ms=3000,config_ms=3000");
    BOOST_REQUIRE(host.start_upstream());
    host.set_upstream_delay(absl::Milliseconds(6500));
    int status = 0;
    std::thread caller([&] {
        const auto answer = host.client().Get("/reads/slow");
        status = answer ? answer->status : 0;
    });
    host.upstream.wait_for_running_request();
    host.terminate();
    caller.join();
    BOOST_TEST(status == 200, "status " << status << "\n" << host.log());
    const int ended = host.wait_for_end(absl::Seconds(2));
    BOOST_TEST(WIFEXITED(ended));
    BOOST_TEST(WEXITSTATUS(ended) == 0);
}

// Guards against a daemon that is killed at the end of the grace period, since it waits for a request that takes
// longer: the other daemons would not be told that it leaves.
BOOST_AUTO_TEST_CASE(ends_before_the_platform_kills) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1, "grace_s=4,drain_ms=2000,config_ms=2000");
    BOOST_REQUIRE(host.start_upstream());
    host.set_upstream_delay(absl::Seconds(10));
    std::thread caller([&] { host.client().Get("/reads/slow"); });
    host.upstream.wait_for_running_request();
    host.terminate();
    const int ended = host.wait_for_end(absl::Seconds(4));
    BOOST_TEST(ended != -1, "still runs\n" << host.log());
    caller.join();
}

// Guards against an order that comes late in a planned stop on a connection that was left open, is passed on and cut
// without an answer at the end of the grace period. The response before it must say that the connection ends, although
// its request came before the stop.
BOOST_AUTO_TEST_CASE(late_order_on_an_open_connection_is_not_cut) {
    two_hosts hosts;
    BOOST_REQUIRE(hosts.start());
    hosts.serving.set_upstream_delay(absl::Milliseconds(3200));
    raw_connection caller(hosts.stopped.request_address(), answer_limit);
    BOOST_REQUIRE(caller.send(get_message("early")));
    hosts.serving.upstream.wait_for_running_request();
    hosts.stopped.terminate();
    hosts.serving.set_upstream_delay(absl::Seconds(4));
    const std::string response = caller.receive_until("\r\n\r\n");
    BOOST_TEST(response.find("Connection: close") != std::string::npos, response);
    caller.send(order_head("late") + "order");
    caller.receive_all();
    hosts.stopped.wait_for_end(absl::Seconds(6));
    BOOST_TEST(!hosts.serving.upstream.execution_counts().contains("late"), hosts.stopped.log());
}

// Guards against an order whose body ends late in a planned stop, that is passed on and cut without an answer at the
// end of the grace period. Its caller must hear at once that it has not run.
BOOST_AUTO_TEST_CASE(order_that_ends_late_is_refused) {
    two_hosts hosts;
    BOOST_REQUIRE(hosts.start());
    hosts.serving.set_upstream_delay(absl::Seconds(4));
    raw_connection caller(hosts.stopped.request_address(), answer_limit);
    BOOST_REQUIRE(caller.send(order_head("late") + "or"));
    absl::SleepFor(absl::Milliseconds(200));
    hosts.stopped.terminate();
    absl::SleepFor(absl::Milliseconds(3500));
    const absl::Time sent_at = absl::Now();
    BOOST_REQUIRE(caller.send("der"));
    const std::string response = caller.receive_all();
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response << hosts.stopped.log());
    BOOST_TEST(response.find("Retry-After") != std::string::npos, response);
    BOOST_TEST(absl::Now() - sent_at < absl::Seconds(1));
    hosts.stopped.wait_for_end(absl::Seconds(6));
    BOOST_TEST(!hosts.serving.upstream.execution_counts().contains("late"));
}

// Guards against requests that were read ahead before a planned stop and are dropped without an answer, because the
// response to the one in front of them closes the connection.
BOOST_AUTO_TEST_CASE(requests_read_ahead_are_answered) {
    platform_store store;
    put_test_configuration(store);
    platform_host host(store, 1);
    BOOST_REQUIRE(host.start_upstream());
    host.set_upstream_delay(absl::Milliseconds(600));
    raw_connection caller(host.request_address(), answer_limit);
    BOOST_REQUIRE(caller.send(get_message("first") + order_head("second") + "order" + order_head("third") + "order"));
    host.upstream.wait_for_running_request();
    absl::SleepFor(absl::Milliseconds(200));
    host.terminate();
    const std::string responses = caller.receive_all();
    std::size_t answered = 0;
    for (std::size_t at = responses.find("HTTP/1.1 200"); at != std::string::npos;
         at = responses.find("HTTP/1.1 200", at + 1)) {
        ++answered;
    }
    BOOST_TEST(answered == 3U, responses << host.log());
    // Only the last response may say that the connection ends.
    BOOST_TEST(responses.find("Connection: close") > responses.rfind("HTTP/1.1 200"), responses);
}

BOOST_AUTO_TEST_SUITE_END()
