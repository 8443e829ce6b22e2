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

BOOST_AUTO_TEST_SUITE_END()
