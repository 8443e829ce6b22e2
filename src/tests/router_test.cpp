#include "routing/router.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(router_test)

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

upstream_record make_record(const std::string& id, const std::string& version, const std::string& data_center = "a") {
    upstream_record record;
    record.id = id;
    record.service = "werkbank";
    record.version = version;
    record.data_center = data_center;
    record.slots = 6;
    record.incarnation = 1;
    return record;
}

route werkbank_route() {
    route made;
    made.name = "orders";
    made.service = "werkbank";
    made.path_prefix = "/orders";
    return made;
}

std::shared_ptr<const intended_state> state_with_shares(std::map<std::string, int> weights) {
    auto state = std::make_shared<intended_state>();
    state->routes["orders"] = werkbank_route();
    if (!weights.empty()) {
        state->shares["werkbank"] = share{"werkbank", std::move(weights), {}};
    }
    return state;
}

struct share_row {
    const char* name;
    std::map<std::string, int> configured;
    std::map<std::string, double> moved;
    std::vector<upstream_record> upstreams;
    std::map<std::string, double> expected; ///< Share by version; empty: refused.

    friend std::ostream& operator<<(std::ostream& out, const share_row& row) {
        return out << row.name;
    }
};

upstream_record leaving(upstream_record record) {
    record.is_leaving = true;
    return record;
}

upstream_record withdrawn(upstream_record record) {
    record.is_withdrawn = true;
    return record;
}

upstream_record serving(upstream_record record, const char* route_name) {
    record.routes = {route_name};
    return record;
}

const share_row share_rows[] = {
    {"no share: by slots",
     {},
     {},
     {make_record("1", "v1"), make_record("2", "v1"), make_record("3", "v2")},
     {{"v1", 2.0 / 3}, {"v2", 1.0 / 3}}},
    {"share",
     {{"v1", 90}, {"v2", 10}},
     {},
     {make_record("1", "v1"), make_record("2", "v2")},
     {{"v1", 0.9}, {"v2", 0.1}}},
    {"a move overrides the share",
     {{"v1", 90}, {"v2", 10}},
     {{"v1", 0.5}, {"v2", 0.5}},
     {make_record("1", "v1"), make_record("2", "v2")},
     {{"v1", 0.5}, {"v2", 0.5}}},
    {"a version without upstream counts as zero",
     {{"v1", 10}, {"v2", 90}},
     {},
     {make_record("1", "v1")},
     {{"v1", 1.0}}},
    {"a leaving upstream is not used",
     {{"v1", 1}, {"v2", 9}},
     {},
     {make_record("1", "v1"), leaving(make_record("2", "v2"))},
     {{"v1", 1.0}}},
    {"a withdrawn upstream is not used",
     {},
     {},
     {make_record("1", "v1"), withdrawn(make_record("2", "v1"))},
     {{"v1", 1.0}}},
    {"an upstream that lacks the route is not used",
     {{"v1", 1}, {"v2", 9}},
     {},
     {make_record("1", "v1"), serving(make_record("2", "v2"), "other")},
     {{"v1", 1.0}}},
    {"weight zero gets nothing",
     {{"v1", 1}, {"v2", 0}},
     {},
     {make_record("1", "v1"), make_record("2", "v2")},
     {{"v1", 1.0}}},
    {"a version outside the share gets nothing", {{"v1", 1}}, {}, {make_record("2", "v2")}, {}},
    {"no upstream", {}, {}, {}, {}},
    {"all leaving", {}, {}, {leaving(make_record("1", "v1"))}, {}},
};

// Guards against traffic for a version beyond its share, and against refusals while a usable version exists.
BOOST_DATA_TEST_CASE(divides_requests_among_versions, share_rows, row) {
    router subject({.data_center = "a", .policy = {}});
    subject.set_configuration(state_with_shares(row.configured));
    subject.set_upstreams(row.upstreams, start);
    if (!row.moved.empty()) {
        subject.set_share_overrides({{"werkbank", row.moved}});
    }
    std::mt19937_64 rng(1);
    std::map<std::string, double> shares;
    constexpr int calls = 20'000;
    for (int call = 0; call < calls; ++call) {
        const routing_decision decision = subject.choose(werkbank_route(), {}, start, rng);
        if (decision.is_refused()) {
            BOOST_TEST(static_cast<int>(decision.refusal) == static_cast<int>(result_code::no_upstream));
            continue;
        }
        shares[decision.version] += 1.0 / calls;
    }
    BOOST_TEST(shares.size() == row.expected.size());
    for (const auto& [version, expected] : row.expected) {
        BOOST_TEST(std::abs(shares[version] - expected) <
                   0.02); // Over five standard errors of a share at 20,000 calls.
    }
}

BOOST_AUTO_TEST_CASE(refuses_an_expired_request) {
    router subject({.data_center = "a", .policy = {}});
    subject.set_upstreams({make_record("1", "v1")}, start);
    std::mt19937_64 rng(1);
    const routing_decision decision = subject.choose(werkbank_route(), {.deadline = start, .tried = {}}, start, rng);
    BOOST_TEST(static_cast<int>(decision.refusal) == static_cast<int>(result_code::deadline_expired));
    BOOST_TEST(static_cast<int>(describe(decision.refusal).request_execution) == static_cast<int>(execution::not_run));
}

// Guards against a retry at the upstream that has just failed.
BOOST_AUTO_TEST_CASE(never_returns_to_a_tried_upstream) {
    router subject({.data_center = "a", .policy = {}});
    subject.set_upstreams({make_record("1", "v1"), make_record("2", "v1")}, start);
    std::mt19937_64 rng(1);
    for (int call = 0; call < 100; ++call) {
        BOOST_TEST(subject.choose(werkbank_route(), {.tried = {"1"}}, start, rng).upstream_id == "2");
    }
    BOOST_TEST(subject.choose(werkbank_route(), {.tried = {"1", "2"}}, start, rng).is_refused());
}

BOOST_AUTO_TEST_SUITE_END()
