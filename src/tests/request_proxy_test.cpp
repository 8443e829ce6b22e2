#include "fakes/two_daemons.h"

#include <absl/synchronization/mutex.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(request_proxy_test)

// Guards against bodies that are truncated, duplicated or swapped, for each way in which HTTP delimits a body.
BOOST_DATA_TEST_CASE(relays_complete_responses, boost::unit_test::data::make({true, false}), through_entry) {
    const two_daemons mesh;
    auto client = mesh.client(through_entry);
    const std::string large(std::size_t{32} * 1024 * 1024, 'b');
    for (int round = 0; round < 2; ++round) {
        BOOST_TEST(client.Get("/x")->body == "version v1\n");
        const auto head = client.Head("/bytes/1000");
        BOOST_TEST(head->status == 200);
        BOOST_TEST(head->get_header_value("Content-Length") == "1000");
        BOOST_TEST(client.Post("/x", "order", "text/plain")->body == "order");
        BOOST_TEST(client.Put("/x", "stock", "text/plain")->body == "stock");
        BOOST_TEST(client.Delete("/x")->status == 200);
        BOOST_TEST(client.Get("/chunked/300000")->body == std::string(300000, 'c'));
        BOOST_TEST(client.Get("/close/300000")->body == std::string(300000, 'c'));
        BOOST_TEST(client.Get("/bytes/0")->body.empty());
    }
    BOOST_TEST((client.Get("/bytes/33554432")->body == large));
    BOOST_TEST((client.Post("/x", large, "text/plain")->body == large));
    const auto chunked = client.Post(
        "/x",
        [](std::size_t offset, httplib::DataSink& sink) {
            const std::string piece(10'000, 'p');
            sink.write(piece.data(), piece.size());
            if (offset >= 190'000) {
                sink.done();
            }
            return true;
        },
        "text/plain");
    BOOST_TEST((chunked->body == std::string(200'000, 'p')));
}

// Guards against a truncated response that the caller takes for a complete one.
BOOST_AUTO_TEST_CASE(reports_truncated_responses) {
    const two_daemons mesh;
    auto client = mesh.client();
    const auto small = client.Get("/truncated/1000");
    BOOST_REQUIRE(small);
    BOOST_TEST(small->status == 502);
    BOOST_TEST(code_of(small) == "1408");
    BOOST_TEST(small->get_header_value("x-amaranthladder-outcome") == "may-have-run");
    const auto held = client.Get("/truncated/1000000");
    BOOST_REQUIRE(held);
    BOOST_TEST(code_of(held) == "1408");
    // A response larger than the entry's buffer has begun when it is truncated, unless the owner's reset arrives before
    // the entry has read the buffered bytes.
    const auto broken = client.Get("/truncated/4000000");
    BOOST_TEST((!broken || code_of(broken) == "1408"));
}

struct fault_row {
    const char* name;
    const char* reset_at;
    bool is_silent;
    const char* method;
    const char* code;
    const char* outcome;
    int executed;

    friend std::ostream& operator<<(std::ostream& out, const fault_row& row) {
        return out << row.name;
    }
};

const fault_row fault_rows[] = {
    {"POST, reset after the headers", "after-headers", false, "POST", "1407", "may-have-run", 0},
    {"POST, reset after the body", "after-body", false, "POST", "1407", "may-have-run", 1},
    {"POST, reset in the answer", "in-response", false, "POST", "1408", "may-have-run", 1},
    {"POST, no answer", "", true, "POST", "1406", "may-have-run", 1},
};

// Guards against a non-idempotent request that runs twice, and against a refusal that wrongly says "not run".
BOOST_DATA_TEST_CASE(runs_non_idempotent_request_at_most_once, fault_rows, row) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.reset_at = row.reset_at;
    behavior.is_silent = row.is_silent;
    mesh.upstream.set_behavior(behavior);
    auto client = mesh.client();
    const auto answer = client.Post("/order", httplib::Headers{{"x-caller-id", "order-1"}}, "hoops", "text/plain");
    BOOST_REQUIRE(answer);
    BOOST_TEST(code_of(answer) == row.code);
    BOOST_TEST(answer->get_header_value("x-amaranthladder-outcome") == row.outcome);
    const auto executed = mesh.upstream.execution_counts();
    BOOST_TEST(executed.size() == static_cast<std::size_t>(row.executed));
    for (const auto& [id, times] : executed) {
        BOOST_TEST(times == 1);
    }
}

// Guards against a response that belongs to another request.
BOOST_AUTO_TEST_CASE(rejects_response_to_another_request) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.sends_wrong_request_id = true;
    mesh.upstream.set_behavior(behavior);
    auto client = mesh.client();
    const auto answer = client.Get("/x");
    BOOST_REQUIRE(answer);
    BOOST_TEST(code_of(answer) == "1416");
    BOOST_TEST(answer->get_header_value("x-amaranthladder-outcome") == "may-have-run");
}

// Guards against several requests in turn that each time out on a dead pooled connection while new connections work.
BOOST_AUTO_TEST_CASE(stalled_connections_delay_only_one_request) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.delay = absl::Milliseconds(100);
    mesh.upstream.set_behavior(behavior);
    constexpr int caller_count = 4;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int index = 0; index < caller_count; ++index) {
        callers.emplace_back([&mesh] { BOOST_TEST(mesh.client().Get("/x")->status == 200); });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    BOOST_REQUIRE(mesh.upstream.accepted_connections() >= 2);
    behavior.delay = absl::ZeroDuration();
    behavior.silent_connections = mesh.upstream.accepted_connections();
    mesh.upstream.set_behavior(behavior);
    auto client = mesh.client();
    BOOST_TEST(code_of(client.Get("/x")) == "1406");
    for (int index = 0; index < 4; ++index) {
        BOOST_TEST(client.Get("/x")->status == 200);
    }
}

// Guards against requests that wait for their whole time on pooled connections that have gone silent while they were
// idle (soak seed 3: 504 after 2 s, 10 s after the last fault).
BOOST_AUTO_TEST_CASE(idle_silent_connection_is_replaced) {
    two_daemons mesh;
    auto client = mesh.client();
    constexpr int requests_to_learn_from = 25;
    for (int request = 0; request < requests_to_learn_from; ++request) {
        BOOST_REQUIRE(client.Get("/x")->status == 200);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    fake_upstream_behavior behavior;
    behavior.silent_connections = mesh.upstream.accepted_connections();
    mesh.upstream.set_behavior(behavior);
    BOOST_TEST(client.Get("/x")->status == 200);
}

// Guards against the same where too few responses are known to tell a silent connection from a slow response (soak seed
// 3 beside busy processes): such a connection is not used.
BOOST_AUTO_TEST_CASE(idle_connection_is_not_used_before_latencies_are_known) {
    two_daemons mesh;
    auto client = mesh.client();
    BOOST_REQUIRE(client.Get("/x")->status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    fake_upstream_behavior behavior;
    behavior.silent_connections = mesh.upstream.accepted_connections();
    mesh.upstream.set_behavior(behavior);
    BOOST_TEST(client.Get("/x")->status == 200);
}

// Guards against a refusal that says "not run" for a request that ran, according to the upstream's own record.
BOOST_AUTO_TEST_CASE(refusals_say_not_run) {
    two_daemons mesh(1, 0);
    fake_upstream_behavior behavior;
    behavior.delay = absl::Milliseconds(300);
    mesh.upstream.set_behavior(behavior);
    std::thread busy([&mesh] {
        auto client = mesh.client();
        const auto answer = client.Get("/first", httplib::Headers{{"x-caller-id", "first"}});
        const std::string status = answer ? std::to_string(answer->status) + " with code " + code_of(answer) : "none";
        BOOST_TEST((answer && answer->status == 200), "first request: " << status);
    });
    mesh.upstream.wait_for_running_request();
    auto client = mesh.client();
    const auto refused = client.Get("/second", httplib::Headers{{"x-caller-id", "second"}});
    busy.join();
    BOOST_REQUIRE(refused);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(refused->get_header_value("x-amaranthladder-outcome") == "not-run");
    BOOST_TEST(!mesh.upstream.execution_counts().contains("second"));
}

// Guards against refusals with the wrong code, and against a connection that cannot be used after a refusal.
BOOST_AUTO_TEST_CASE(refusals_carry_result_codes) {
    two_daemons mesh;
    auto client = mesh.client();
    BOOST_TEST(code_of(client.Post("/only-get/x", "", "text/plain")) == "1417");
    mesh.record.is_leaving = true;
    mesh.owner->set_local_upstream(mesh.record, 16);
    BOOST_TEST(code_of(client.Get("/x")) == "1404");
    mesh.entry->set_upstreams({});
    BOOST_TEST(code_of(client.Get("/x")) == "1401");
    mesh.entry->set_configuration(std::make_shared<intended_state>());
    BOOST_TEST(code_of(client.Get("/x")) == "1400");
}

// Guards against requests that each wait for the connect timeout of an upstream that has crashed without deregistering.
BOOST_AUTO_TEST_CASE(unreachable_upstream_is_refused_immediately) {
    two_daemons mesh;
    mesh.record.address = {"127.0.0.1", 1};
    mesh.owner->set_local_upstream(mesh.record, 16);
    auto client = mesh.client();
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto refused = client.Post("/x", "order", "text/plain");
        BOOST_REQUIRE(refused);
        BOOST_TEST(refused->status == 503);
        BOOST_TEST(code_of(refused) == "1405");
        BOOST_TEST(refused->get_header_value("x-amaranthladder-outcome") == "not-run");
    }
    mesh.record.address = mesh.upstream.address();
    mesh.owner->set_local_upstream(mesh.record, 16);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    BOOST_TEST(client.Get("/x")->status == 200);
}

struct malformed_input {
    const char* name;
    std::string bytes;
    const char* expected;

    friend std::ostream& operator<<(std::ostream& out, const malformed_input& row) {
        return out << row.name;
    }
};

const malformed_input malformed_inputs[] = {
    {"random bytes", std::string("\x16\x03\x01\x02", 4) + std::string(4, '\0') + "\xff\xfe\x80 garbage\r\n\r\n",
     "1412"},
    {"another protocol", "SSH-2.0-OpenSSH_9.2\r\n\r\n", "1412"},
    {"headers beyond the limit", "GET / HTTP/1.1\r\nx-large: " + std::string(200'000, 'h') + "\r\n\r\n", "1413"},
    {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", "1412"},
    {"length that is no number", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "1412"},
    {"deadline that is no number", "GET / HTTP/1.1\r\nx-amaranthladder-deadline-ms: soon\r\n\r\n", "1412"},
    {"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "1412"},
    {"sender too slow for its headers", "GET / HTTP/1.1\r\nx-slow:", ""},
    {"request that ends early", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", ""},
};

// Guards against a crash, a hang or a response without a result code, and checks that the daemon serves further
// requests.
BOOST_DATA_TEST_CASE(rejects_malformed_input, malformed_inputs, row) {
    const two_daemons mesh;
    const std::string answer = send_raw(mesh.entry->address(), row.bytes);
    if (*row.expected != '\0') {
        BOOST_TEST(answer.find(std::string("x-amaranthladder-code: ") + row.expected) != std::string::npos, answer);
    }
    auto client = mesh.client();
    const auto next = client.Get("/x");
    BOOST_REQUIRE(next);
    BOOST_TEST(next->status == 200);
}

// Guards against the use of an upstream that is removed while the body of a request for it is still arriving.
BOOST_AUTO_TEST_CASE(upstream_may_be_removed_while_body_arrives) {
    two_daemons mesh;
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(mesh.owner->address().port);
    inet_pton(AF_INET, "127.0.0.1", &remote.sin_addr);
    BOOST_REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) == 0);
    const std::string head = "POST /x HTTP/1.1\r\nx-amaranthladder-mesh: litoral\r\nConnection: close\r\n"
                             "x-amaranthladder-upstream: tienda-1\r\nx-amaranthladder-route: orders\r\n"
                             "Content-Length: 5\r\n\r\nor";
    BOOST_REQUIRE(::send(socket, head.data(), head.size(), MSG_NOSIGNAL) > 0);
    // The counter shows that the event loop has read the header. The removal runs after it on the same thread.
    while (mesh.owner->counters().owner_requests == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    mesh.owner->remove_local_upstream("tienda-1", upstream_removal::silent);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    BOOST_REQUIRE(::send(socket, "der", 3, MSG_NOSIGNAL) == 3);
    std::string answer(4096, '\0');
    answer.resize(static_cast<std::size_t>(std::max<ssize_t>(0, ::recv(socket, answer.data(), answer.size(), 0))));
    ::close(socket);
    BOOST_TEST(answer.find("x-amaranthladder-code: 1401") != std::string::npos, answer);
    BOOST_TEST(mesh.upstream.execution_counts().empty());
}

// Guards against a stopped daemon that wakes requests which it has destroyed: some of them hold slots, others wait for
// one. Seen under valgrind; without it the process may crash.
BOOST_AUTO_TEST_CASE(stops_while_requests_wait_for_slots) {
    constexpr int caller_count = 12;
    std::vector<std::unique_ptr<raw_connection>> callers;
    two_daemons mesh(2, caller_count);
    fake_upstream_behavior behavior;
    behavior.is_silent = true;
    mesh.upstream.set_behavior(behavior);
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.push_back(std::make_unique<raw_connection>(mesh.entry->address()));
        BOOST_REQUIRE(callers.back()->send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
    // A silent upstream counts a request as ended before it stays silent.
    while (mesh.upstream.execution_counts().empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

// Guards against a drain that interrupts a request, such as a long download.
BOOST_AUTO_TEST_CASE(drain_completes_requests_in_flight) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.delay = absl::Milliseconds(400);
    mesh.upstream.set_behavior(behavior);
    std::thread download([&mesh] {
        auto client = mesh.client();
        const auto answer = client.Get("/chunked/20000000");
        BOOST_REQUIRE(answer);
        BOOST_TEST(answer->body.size() == 20'000'000U);
    });
    mesh.upstream.wait_for_running_request();
    mesh.entry->drain();
    download.join();
    auto late = mesh.client();
    BOOST_TEST(!late.Get("/x"));
}

// Guards against a drain that closes a connection as idle although a request from it has been read and forwarded, so
// that the response is lost (seen as LOST on kufenbach-mesh-grown scale-2). It takes many persistent connections that
// send requests while the idle ones are being closed.
BOOST_AUTO_TEST_CASE(drain_answers_forwarded_requests) {
    constexpr int rounds = 6;
    constexpr int callers = 24;
    for (int round = 0; round < rounds; ++round) {
        two_daemons mesh;
        std::atomic<bool> is_over = false;
        absl::Mutex mutex;
        std::vector<std::string> unanswered;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                auto client = mesh.client();
                for (int number = 0; !is_over; ++number) {
                    const std::string id = std::to_string(caller) + "-" + std::to_string(number);
                    const auto answer = client.Get("/x", httplib::Headers{{"x-caller-id", id}});
                    if (!answer) {
                        const absl::MutexLock lock(&mutex);
                        unanswered.push_back(id);
                        return;
                    }
                    std::this_thread::sleep_for(std::chrono::microseconds(300));
                }
            });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        mesh.entry->drain(absl::Milliseconds(50));
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        is_over = true;
        for (auto& thread : threads) {
            thread.join();
        }
        const auto executed = mesh.upstream.execution_counts();
        for (const std::string& id : unanswered) {
            BOOST_TEST(!executed.contains(id), "request " << id << " ran and was not answered");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
