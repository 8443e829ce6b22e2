#include "routing/nested_route_detector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(nested_route_detector_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

/// Requests at a timetable upstream of S: uploads come through the hosts of all services, stop lookups through those of
/// the bookings.
class timetable_owner {
public:
    explicit timetable_owner(double share_of_largest_service = 0.46) : m_share(share_of_largest_service) {}

    /// @return requests of each route that are taken for nested calls.
    std::pair<int, int> run(int requests, bool has_uploads = true) {
        std::pair<int, int> nested;
        for (int request = 0; request < requests; ++request, now += absl::Milliseconds(10)) {
            if (has_uploads) {
                nested.first += subject.observe("uploads", host_service(), now).is_nested ? 1 : 0;
            }
            nested.second += subject.observe("stops", "bookings", now).is_nested ? 1 : 0;
        }
        return nested;
    }

    std::string host_service() {
        return std::uniform_real_distribution<double>(0, 1)(m_rng) < m_share ? "planner" : "bookings";
    }

    nested_route_detector subject;
    absl::Time now = start;

private:
    double m_share;
    std::mt19937_64 m_rng{1};
};

// Guards against nested calls that wait behind new work, and against callers' requests that pass as nested calls, also
// where 0.8 of the hosts belong to one service.
BOOST_DATA_TEST_CASE(finds_the_route_of_nested_calls, boost::unit_test::data::make({0.46, 0.8}), share) {
    timetable_owner owner(share);
    const auto [uploads, stops] = owner.run(100'000);
    BOOST_TEST_MESSAGE("seed 1, uploads taken for nested calls " << uploads);
    BOOST_TEST(uploads == 0);
    BOOST_TEST(stops > 99'000);
}

// Guards against a conclusion where all requests come from one service, for example because there is only one: nothing
// then tells callers from upstreams.
BOOST_AUTO_TEST_CASE(needs_another_route_with_several_services) {
    timetable_owner owner;
    BOOST_TEST(owner.run(1'000, false).second == 0);
    timetable_owner single(0);
    BOOST_TEST(single.run(1'000).second == 0);
}

// Guards against a caller that sends many requests through one host within a moment.
BOOST_AUTO_TEST_CASE(needs_evidence_over_time) {
    timetable_owner owner;
    owner.run(100);
    for (int request = 0; request < 500; ++request) {
        BOOST_TEST(!owner.subject.observe("exports", "planner", owner.now).is_nested);
    }
}

// Guards against a wrong conclusion that stays, and against one that comes back as quickly as the first.
BOOST_AUTO_TEST_CASE(forgets_when_contradicted) {
    timetable_owner owner;
    owner.run(1'000);
    const auto contradicted = owner.subject.observe("stops", "planner", owner.now);
    BOOST_TEST(!contradicted.is_nested);
    BOOST_TEST(contradicted.has_changed);
    BOOST_TEST(owner.run(100).second == 0);
    BOOST_TEST(owner.run(1'000).second > 0);
}

// Guards against conclusions about routes that a new configuration has given another meaning.
BOOST_AUTO_TEST_CASE(forgets_after_a_configuration_change) {
    timetable_owner owner;
    owner.run(1'000);
    owner.subject.reset();
    BOOST_TEST(!owner.subject.observe("stops", "bookings", owner.now).is_nested);
}

// Guards against requests of hosts without a service name, which cannot be told apart.
BOOST_AUTO_TEST_CASE(an_unknown_service_is_no_evidence) {
    timetable_owner owner;
    owner.run(500);
    for (int request = 0; request < 1'000; ++request, owner.now += absl::Milliseconds(10)) {
        BOOST_TEST(!owner.subject.observe("other", "", owner.now).is_nested);
    }
}

BOOST_AUTO_TEST_SUITE_END()
