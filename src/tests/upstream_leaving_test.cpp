#include "fakes/two_daemons.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(upstream_leaving_test)

// Guards against requests that reach an upstream after it has said in a response that it leaves, while its
// announcements still say that it serves.
BOOST_DATA_TEST_CASE(no_request_follows_a_response_that_says_leaving, boost::unit_test::data::make({true, false}),
                     through_entry) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.headers["x-amaranthladder-leaving"] = "1";
    mesh.upstream.set_behavior(behavior);
    auto client = mesh.client(through_entry);
    BOOST_TEST(client.Get("/x")->status == 200);
    // The same announcement once more, as a heartbeat that was sent before.
    mesh.owner->set_local_upstream(mesh.record, 16);
    const auto refused = client.Get("/x");
    BOOST_REQUIRE(refused);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(refused->get_header_value("x-amaranthladder-outcome") == "not-run");
    BOOST_TEST(mesh.upstream.execution_counts().size() == 1U);
}

// Guards against a request that is sent while the response that says leaving is still being passed on.
BOOST_AUTO_TEST_CASE(leaving_counts_from_the_header_of_a_long_response) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.headers["x-amaranthladder-leaving"] = "1";
    mesh.upstream.set_behavior(behavior);
    raw_connection slow_reader(mesh.entry->address());
    slow_reader.send("GET /bytes/33554432 HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(slow_reader.receive().starts_with("HTTP/1.1 200"));
    BOOST_TEST(mesh.client().Get("/x")->status == 503);
    BOOST_TEST(mesh.upstream.execution_counts().size() == 1U);
}

// Guards against an upstream that started again under its id and is still taken for the one that left.
BOOST_AUTO_TEST_CASE(new_start_of_the_upstream_is_used) {
    two_daemons mesh;
    fake_upstream_behavior behavior;
    behavior.headers["x-amaranthladder-leaving"] = "1";
    mesh.upstream.set_behavior(behavior);
    BOOST_TEST(mesh.client().Get("/x")->status == 200);
    mesh.upstream.set_behavior({});
    upstream_record restarted = mesh.record;
    restarted.started_at = absl::FromUnixSeconds(1'700'000'000);
    mesh.owner->set_local_upstream(restarted, 16);
    for (auto* proxy : {mesh.entry.get(), mesh.owner.get()}) {
        proxy->set_upstreams({restarted});
    }
    BOOST_TEST(mesh.client(true).Get("/x")->status == 200);
    BOOST_TEST(mesh.client(false).Get("/x")->status == 200);
}

// Guards against a restarted owner that knows nothing of the leaving and announces its upstream again, after a
// heartbeat that was under way: another daemon that has passed on the response sends nothing more.
BOOST_AUTO_TEST_CASE(entry_remembers_after_a_restart_of_the_owner) {
    two_daemons mesh;
    mesh.record.started_at = absl::FromUnixSeconds(1'700'000'000);
    mesh.owner->set_local_upstream(mesh.record, 16);
    mesh.entry->set_upstreams({mesh.record});
    fake_upstream_behavior behavior;
    behavior.headers["x-amaranthladder-leaving"] = "1";
    mesh.upstream.set_behavior(behavior);
    BOOST_TEST(mesh.client().Get("/x")->status == 200);
    mesh.owner->remove_local_upstream(mesh.record.id, upstream_removal::withdrawn);
    mesh.entry->set_upstreams({});
    mesh.record.incarnation += 1;
    mesh.owner->set_local_upstream(mesh.record, 16);
    mesh.entry->set_upstreams({mesh.record});
    BOOST_TEST(mesh.client().Get("/x")->status == 503);
    BOOST_TEST(mesh.upstream.execution_counts().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
