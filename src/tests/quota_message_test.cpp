#include "quota/quota_message.h"

#include "common/error.h"

#include <boost/test/unit_test.hpp>

#include <string>

/// Messages of the quotas arrive by datagram from any sender that knows the mesh.
BOOST_AUTO_TEST_SUITE(quota_message_test)

using namespace amaranthladder;

namespace {

quota_message make_message() {
    return {{"10.0.0.1", 7000},
            {{1, "acme", 12, 0}, {0xffffffffffffffffULL, "", 0, 0}, {3, "basil", 1, 900}},
            {{7, quota_status::none, 0, 1500}, {8, quota_status::granted, 4, 0}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(decodes_what_it_encodes) {
    BOOST_TEST((quota_message::decode(make_message().encode()) == make_message()));
}

BOOST_AUTO_TEST_CASE(refuses_truncated_messages) {
    const std::string bytes = make_message().encode();
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_CHECK_THROW(quota_message::decode(bytes.substr(0, length)), error);
    }
}

// Guards against transfers that earlier versions cannot skip: they follow what those read.
BOOST_AUTO_TEST_CASE(transfers_follow_the_items_of_earlier_versions) {
    quota_message message = make_message();
    const std::string earlier = message.encode();
    message.transfers = {{quota_transfer::kind::spent, 5, "acme", 3}, {quota_transfer::kind::hand_over, 6, "basil", 0}};
    message.answers.push_back({9, quota_status::moved, 0, 0, {"10.0.0.2", 7000}});
    const std::string bytes = message.encode();
    BOOST_TEST((quota_message::decode(bytes) == message));
    BOOST_TEST(bytes.starts_with(earlier));
    for (std::size_t length = earlier.size() + 1; length < bytes.size(); ++length) {
        BOOST_CHECK_THROW(quota_message::decode(bytes.substr(0, length)), error);
    }
}

BOOST_AUTO_TEST_CASE(refuses_a_list_that_no_datagram_holds) {
    quota_message large = make_message();
    large.asks.resize(300);
    BOOST_CHECK_THROW(quota_message::decode(large.encode()), error);
}

BOOST_AUTO_TEST_CASE(stays_small) {
    // About 20 requests a second and daemon ask for tokens; see docs/CAPACITY.md.
    const quota_message ask{{"10.0.0.1", 7000}, {{0x123456789abcdefULL, "tenant-86", 1, 0}}, {}};
    BOOST_TEST(ask.encode().size() <= 45);
}

BOOST_AUTO_TEST_SUITE_END()
