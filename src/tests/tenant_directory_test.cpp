#include "routing/tenant_directory.h"

#include "config/key_digest.h"
#include "routing/request_priority.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(tenant_directory_test)

namespace {

constexpr std::string_view scheme = "Token";

tenant make_tenant(const std::string& name, const std::vector<std::string>& keys) {
    tenant made;
    made.name = name;
    for (const std::string& key : keys) {
        made.key_digests.push_back(key_digest(key));
    }
    std::ranges::sort(made.key_digests);
    return made;
}

route make_route(const std::string& name, bool allows_anonymous, int priority = 0) {
    route made;
    made.name = name;
    made.allows_anonymous = allows_anonymous;
    made.priority = priority;
    return made;
}

std::shared_ptr<intended_state> make_state(const std::vector<tenant>& tenants) {
    auto state = std::make_shared<intended_state>();
    for (const tenant& listed : tenants) {
        state->tenants[listed.name] = listed;
    }
    for (const bool allows_anonymous : {false, true}) {
        const std::string name = allows_anonymous ? "open" : "closed";
        state->routes[name] = make_route(name, allows_anonymous);
    }
    return state;
}

presented_key present(const std::vector<std::string_view>& values) {
    return read_presented_key(values, scheme);
}

std::string describe_decision(const tenant_decision& decision) {
    return decision.refusal != key_refusal::none ? std::string(name(decision.refusal))
           : decision.identified == nullptr      ? "anonymous"
                                                 : decision.identified->name;
}

struct decision_row {
    const char* name;
    std::vector<std::string_view> values;
    const char* closed; ///< Decision on the route that needs a key.
    const char* open;   ///< Decision on the route with allow_anonymous.

    friend std::ostream& operator<<(std::ostream& out, const decision_row& row) {
        return out << row.name;
    }
};

const decision_row decision_rows[] = {
    {"right key", {"Token key-a1"}, "a", "a"},
    {"another key of the same tenant", {"Token key-a2"}, "a", "a"},
    {"key of another tenant", {"Token key-b"}, "b", "b"},
    {"no key", {}, "missing-key", "anonymous"},
    {"unknown key", {"Token key-c"}, "unknown-key", "unknown-key"},
    {"last character differs", {"Token key-a3"}, "unknown-key", "unknown-key"},
    {"last character missing", {"Token key-a"}, "unknown-key", "unknown-key"},
    {"a character too many", {"Token key-a1x"}, "unknown-key", "unknown-key"},
    {"other case", {"Token KEY-A1"}, "unknown-key", "unknown-key"},
    {"scheme in another case", {"token key-a1"}, "unknown-key", "unknown-key"},
    {"another scheme", {"Bearer key-a1"}, "unknown-key", "unknown-key"},
    {"no scheme", {"key-a1"}, "unknown-key", "unknown-key"},
    {"scheme without a key", {"Token"}, "unknown-key", "unknown-key"},
    {"empty key", {"Token "}, "unknown-key", "unknown-key"},
    {"empty header", {""}, "unknown-key", "unknown-key"},
    {"no space", {"Tokenkey-a1"}, "unknown-key", "unknown-key"},
    {"two spaces", {"Token  key-a1"}, "unknown-key", "unknown-key"},
    {"tab", {"Token\tkey-a1"}, "unknown-key", "unknown-key"},
    {"space after the key", {"Token key-a1 "}, "unknown-key", "unknown-key"},
    {"two keys in one header", {"Token key-a1, Token key-b"}, "unknown-key", "unknown-key"},
    {"quoted key", {"Token \"key-a1\""}, "unknown-key", "unknown-key"},
    {"two headers", {"Token key-a1", "Token key-b"}, "unknown-key", "unknown-key"},
    {"the same header twice", {"Token key-a1", "Token key-a1"}, "unknown-key", "unknown-key"},
    {"right key and an empty header", {"Token key-a1", ""}, "unknown-key", "unknown-key"},
};

} // namespace

// Guards against a request that runs without the right key, or is refused with it.
BOOST_DATA_TEST_CASE(decides_by_key_and_route, decision_rows, row) {
    const tenant_directory directory(
        make_state({make_tenant("a", {"key-a1", "key-a2"}), make_tenant("b", {"key-b"}), make_tenant("none", {})}));
    const presented_key key = present(row.values);
    BOOST_TEST(describe_decision(directory.decide(make_route("closed", false), key)) == row.closed);
    BOOST_TEST(describe_decision(directory.decide(make_route("open", true), key)) == row.open);
    BOOST_TEST((directory.decide(make_route("closed", false), key).code() == result_code::ok) ==
               (*row.closed == 'a' || *row.closed == 'b'));
}

// Guards against a digest that is accepted as a key: digests are in snapshots, which more people can read than keys.
BOOST_AUTO_TEST_CASE(digest_is_no_key) {
    const tenant_directory directory(make_state({make_tenant("a", {"key-a1"})}));
    const std::string value = "Token " + key_digest("key-a1");
    BOOST_TEST((directory.decide(make_route("open", true), present({value})).refusal == key_refusal::unknown_key));
}

// Guards against refusals by a configuration without tenants, whose callers may use the header for their own purposes.
BOOST_DATA_TEST_CASE(without_tenants_everything_is_anonymous, boost::unit_test::data::make({true, false}), is_empty) {
    const tenant_directory directory = is_empty ? tenant_directory() : tenant_directory(make_state({}));
    BOOST_TEST(!directory.is_in_use());
    for (const char* value : {"Token key-a1", "Basic dXNlcg==", ""}) {
        BOOST_TEST(describe_decision(directory.decide(make_route("closed", false), present({value}))) == "anonymous");
    }
    BOOST_TEST(directory.permits("closed", "", ""));
    // Another daemon may have a newer configuration, with tenants.
    BOOST_TEST(directory.permits("closed", "a", key_digest("key-a1")));
}

// Guards against keys that are lost or given to the wrong tenant in a large configuration, and against keys of which
// only a part is compared.
BOOST_AUTO_TEST_CASE(finds_each_of_ten_thousand_keys) {
    constexpr int tenant_count = 2'500;
    constexpr int keys_per_tenant = 4;
    const auto key_of = [](int holder, int number) { return fmt::format("k-{:05}-{}", holder, number); };
    std::vector<tenant> tenants;
    for (int holder = 0; holder < tenant_count; ++holder) {
        std::vector<std::string> keys;
        keys.reserve(keys_per_tenant);
        for (int number = 0; number < keys_per_tenant; ++number) {
            keys.push_back(key_of(holder, number));
        }
        tenants.push_back(make_tenant(fmt::format("t-{}", holder), keys));
    }
    const tenant_directory directory(make_state(tenants));
    int wrong = 0;
    int near_misses_accepted = 0;
    for (int holder = 0; holder < tenant_count; ++holder) {
        for (int number = 0; number < keys_per_tenant; ++number) {
            const std::string key = key_of(holder, number);
            const tenant* const found = directory.find(key_digest(key));
            wrong += found == nullptr || found->name != fmt::format("t-{}", holder) ? 1 : 0;
            for (const std::string& near : {key.substr(1), key + "0", key.substr(0, key.size() - 1) + "x"}) {
                near_misses_accepted += directory.find(key_digest(near)) != nullptr ? 1 : 0;
            }
        }
    }
    BOOST_TEST(wrong == 0);
    BOOST_TEST(near_misses_accepted == 0);
}

// Guards against a request that waits across a change of the configuration and is decided by the old one: its key is
// removed or goes to another tenant, or its route loses or gains allow_anonymous, or is removed.
BOOST_AUTO_TEST_CASE(newest_configuration_decides_about_waiting_requests) {
    const auto first = make_state({make_tenant("a", {"key-a1"}), make_tenant("b", {"key-b"})});
    auto second = make_state({make_tenant("b", {"key-a1"})});
    second->routes["open"].allows_anonymous = false;
    second->routes["closed"].allows_anonymous = true;
    const tenant_directory before(first);
    const tenant_directory after(second);
    const route open = first->routes.at("open");
    const route closed = first->routes.at("closed");
    BOOST_TEST(describe_decision(before.decide(closed, present({"Token key-a1"}))) == "a");
    BOOST_TEST(describe_decision(after.decide(closed, present({"Token key-a1"}))) == "b");
    BOOST_TEST(describe_decision(before.decide(closed, present({"Token key-b"}))) == "b");
    BOOST_TEST(describe_decision(after.decide(closed, present({"Token key-b"}))) == "unknown-key");
    BOOST_TEST(describe_decision(after.decide(open, present({}))) == "missing-key");
    BOOST_TEST(describe_decision(after.decide(closed, present({}))) == "anonymous");
    BOOST_TEST(before.permits("closed", "a", key_digest("key-a1")));
    BOOST_TEST(!after.permits("closed", "a", key_digest("key-a1")));
    BOOST_TEST(!after.permits("closed", "b", key_digest("key-b")));
    BOOST_TEST(after.permits("closed", "b", key_digest("key-a1")));
    BOOST_TEST(before.permits("open", "", ""));
    BOOST_TEST(!after.permits("open", "", ""));
    second->routes.erase("open");
    const tenant_directory without_route(second);
    BOOST_TEST(describe_decision(without_route.decide(open, present({}))) == "anonymous");
    BOOST_TEST(without_route.permits("open", "", ""));
}

// Guards against a directory that refers to a configuration that no longer exists.
BOOST_AUTO_TEST_CASE(keeps_its_configuration_alive) {
    tenant_directory directory(make_state({make_tenant("a", {"key-a1"})}));
    const tenant_directory moved = std::move(directory);
    BOOST_TEST(moved.find(key_digest("key-a1"))->name == "a");
}

// Guards against a less urgent tenant that is served first (R-FAIR: the priority of the tenant goes before the
// route's).
BOOST_AUTO_TEST_CASE(priority_orders_by_tenant_then_by_route) {
    tenant urgent;
    urgent.priority = 0;
    tenant patient;
    patient.priority = 2;
    const tenant unstated;
    const auto priority = [](const tenant* identified, int route_priority) {
        return request_priority(identified, make_route("r", false, route_priority));
    };
    BOOST_TEST(priority(&urgent, 0) == 0);
    BOOST_TEST(priority(&urgent, 5) < priority(&patient, 0));
    BOOST_TEST(priority(&urgent, max_configured_priority) < priority(&patient, 0));
    BOOST_TEST(priority(&patient, 0) < priority(&patient, 1));
    // Without a tenant's priority the route's stands for both.
    for (const tenant* identified : {static_cast<const tenant*>(nullptr), &unstated}) {
        BOOST_TEST(priority(identified, 0) == 0);
        BOOST_TEST(priority(identified, 1) < priority(identified, 2));
        BOOST_TEST(priority(identified, 1) < priority(&patient, 0));
        BOOST_TEST(priority(identified, 2) == priority(&patient, 2));
        BOOST_TEST(priority(identified, 3) > priority(&patient, max_configured_priority));
    }
    BOOST_TEST(tenant_part(priority(&patient, 7)) == 2);
    BOOST_TEST(route_part(priority(&patient, 7)) == 7);
    BOOST_TEST(tenant_part(priority(nullptr, 3)) == 3);
    // A configuration of the platform may hold more than the ranges of a folder.
    BOOST_TEST(priority(&urgent, 1'000'000) < priority(&patient, 0));
    BOOST_TEST(tenant_part(-5) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
