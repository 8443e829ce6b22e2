#include "fakes/scripted_upstream.h"
#include "fakes/two_daemons.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(broken_head_test)

struct broken_row {
    const char* name;
    std::string bytes; ///< After which the upstream closes the connection.

    friend std::ostream& operator<<(std::ostream& out, const broken_row& row) {
        return out << row.name;
    }
};

const broken_row broken_rows[] = {
    {"nothing", ""},
    {"in the protocol's name", "HTT"},
    {"in the status", "HTTP/1.1 20"},
    {"after the status", "HTTP/1.1 200"},
    {"in the reason", "HTTP/1.1 200 O"},
    {"before the end of the first line", "HTTP/1.1 200 OK\r"},
    {"after the first line", "HTTP/1.1 200 OK\r\n"},
    {"in a name", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"in a length", "HTTP/1.1 200 OK\r\nContent-Length: 1"},
    {"before the end of a length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r"},
    {"after a length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"},
    {"after a length of zero", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
    {"before the last byte", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"},
    {"after a chunked coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"},
    {"in the head after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
    {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"after bare line ends", "HTTP/1.1 200 OK\nContent-Length: 0\n"},
};

// Guards against a response whose head breaks off and that reaches the caller as a whole one, empty or short. Orders
// get an error that does not say "not run".
BOOST_DATA_TEST_CASE(broken_heads_are_no_success,
                     broken_rows* boost::unit_test::data::make({true, false}) *
                         boost::unit_test::data::make({"GET", "POST", "HEAD"}),
                     row, through_entry, method) {
    scripted_upstream upstream([&row](const scripted_request& /*request*/) -> scripted_answer {
        return {row.bytes, absl::ZeroDuration(), true};
    });
    two_daemons mesh;
    mesh.record.address = upstream.address();
    mesh.owner->set_local_upstream(mesh.record, 16);
    for (auto* proxy : {mesh.entry.get(), mesh.owner.get()}) {
        proxy->set_upstreams({mesh.record});
    }
    httplib::Request request;
    request.method = method;
    request.path = "/x";
    const auto answer = mesh.client(through_entry).send(request);
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(answer->get_header_value("x-amaranthladder-outcome") == "may-have-run");
}

// The same between two daemons: the owner's connection ends within the head.
BOOST_DATA_TEST_CASE(broken_heads_of_an_owner_are_no_success, broken_rows, row) {
    scripted_upstream owner([&row](const scripted_request& /*request*/) -> scripted_answer {
        return {row.bytes, absl::ZeroDuration(), true};
    });
    two_daemons mesh;
    mesh.record.owner = owner.address();
    mesh.entry->set_upstreams({mesh.record});
    const auto answer = mesh.client().Post("/x", "order", "text/plain");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(answer->get_header_value("x-amaranthladder-outcome") == "may-have-run");
}

BOOST_AUTO_TEST_SUITE_END()
