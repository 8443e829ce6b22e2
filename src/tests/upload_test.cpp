#include "fakes/two_daemons.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(upload_test)

constexpr std::size_t upload_bytes = 200'000;

std::string upload_head(std::size_t size) {
    return fmt::format("POST /upload/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                       "x-amaranthladder-request-id: upload-1\r\nContent-Length: {}\r\n\r\n",
                       size);
}

// Guards against a slot that is held while a slow caller sends its body.
BOOST_AUTO_TEST_CASE(slow_sender_holds_no_slot) {
    two_daemons mesh(1, 0);
    raw_connection sender(mesh.entry->address(), absl::Seconds(10));
    BOOST_REQUIRE(sender.send(upload_head(upload_bytes)));
    BOOST_REQUIRE(sender.send(std::string(upload_bytes / 2, 'a')));
    while (mesh.owner->counters().owner_requests == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto other = mesh.client();
    const auto answer = other.Get("/only-get/a");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200);
    BOOST_REQUIRE(sender.send(std::string(upload_bytes - upload_bytes / 2, 'b')));
    const std::string received = sender.receive_all();
    BOOST_TEST(received.starts_with("HTTP/1.1 200"), received.substr(0, 200));
    BOOST_TEST(received.ends_with("bbbb"));
    BOOST_TEST(mesh.upstream.execution_counts().at("upload-1") == 1);
}

// Guards against bytes of a body that cross the mesh only to be refused: the link of the owner's host takes 10 s for
// this body, and the caller waits for 1 s.
BOOST_AUTO_TEST_CASE(refuses_before_the_body) {
    two_daemons mesh(4, 4, [](proxy_options& options) { options.link_mbps = upload_bytes * 8 / 10.0 / 1e6; });
    auto caller = mesh.client();
    const httplib::Headers headers{{"x-amaranthladder-deadline-ms", "1000"}};
    const auto started = std::chrono::steady_clock::now();
    const auto answer = caller.Post("/upload/x", headers, std::string(upload_bytes, 'a'), "text/plain");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(code_of(answer) == "1402");
    BOOST_TEST((std::chrono::steady_clock::now() - started < std::chrono::milliseconds(600)));
    BOOST_TEST(mesh.upstream.execution_counts().empty());
    // A small upload fits.
    const auto small = caller.Post("/upload/x", headers, std::string(1000, 'a'), "text/plain");
    BOOST_REQUIRE(small);
    BOOST_TEST(small->status == 200);
}

// Guards against an upload that runs twice: its owner takes the body, and the upstream resets the connection.
BOOST_AUTO_TEST_CASE(runs_at_most_once) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.reset_at = "after-body";
    mesh.upstream.set_behavior(behavior);
    auto caller = mesh.client();
    const httplib::Headers headers{{"x-amaranthladder-request-id", "upload-2"}};
    const auto answer = caller.Post("/upload/x", headers, std::string(20'000, 'a'), "text/plain");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(mesh.upstream.execution_counts().at("upload-2") == 1);
}

// Guards against bodies whose senders have left, which wait in front of others, are counted as refusals and keep the
// owner's connection until their deadlines. Pattern: a slow upload fills the link of the owner's host, and the caller
// of one that waits for it disconnects.
BOOST_AUTO_TEST_CASE(wait_for_a_body_ends_with_its_sender) {
    two_daemons mesh(4, 4, [](proxy_options& options) {
        options.link_mbps = upload_bytes * 8 / 4.0 / 1e6;
        options.first_byte_timeout = absl::Seconds(30);
        options.default_timeout = absl::Seconds(30);
        options.body_idle_timeout = absl::Seconds(30);
    });
    const auto wait_for = [&mesh](const auto& condition) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(6);
        while (!condition(mesh.owner->counters()) && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return condition(mesh.owner->counters());
    };
    raw_connection slow(mesh.entry->address());
    BOOST_REQUIRE(slow.send(upload_head(upload_bytes) + std::string(upload_bytes / 2, 'a')));
    BOOST_REQUIRE(wait_for([](const proxy_counters& counters) { return counters.bodies_received == 1; }));
    {
        raw_connection waiting(mesh.entry->address());
        BOOST_REQUIRE(waiting.send(upload_head(20'000) + std::string(20'000, 'b')));
        BOOST_REQUIRE(wait_for([](const proxy_counters& counters) { return counters.requests_in_flight == 2; }));
    }
    BOOST_TEST(wait_for([](const proxy_counters& counters) { return counters.requests_in_flight == 1; }));
    BOOST_TEST(mesh.owner->counters().bodies_refused == 0U);
    BOOST_TEST(mesh.owner->counters().bodies_received == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
