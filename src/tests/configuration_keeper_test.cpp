#include "daemon/configuration_keeper.h"

#include "config/snapshot_delta.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(configuration_keeper_test)

namespace {

constexpr int route_count = 200;

/// A configuration of some size, of which each version changes one route.
std::shared_ptr<const snapshot> make(std::uint64_t version) {
    intended_state state;
    state.services["tienda"] = {"tienda", absl::Seconds(1), 16, {"a.ini", 1}};
    for (int number = 0; number < route_count; ++number) {
        route one;
        one.name = fmt::format("kits-{}", number);
        one.service = "tienda";
        one.path_prefix = fmt::format("/kits-{}", number);
        one.timeout = absl::Milliseconds(number == 0 ? 100 * version : 100);
        one.origin = {"a.ini", 2};
        state.routes[one.name] = one;
    }
    return snapshot::create(version, absl::UnixEpoch(), "operator", state);
}

} // namespace

// Guards against a daemon that holds the decoded state of earlier versions. Pattern: twenty changes of a configuration
// with 800 routes kept 8 MB in each daemon (kufenbach-mesh-grown quiet-1).
BOOST_AUTO_TEST_CASE(keeps_earlier_versions_as_bytes_only) {
    configuration_keeper keeper([](const std::shared_ptr<const snapshot>& /*applied*/) {});
    std::shared_ptr<const snapshot> first = make(1);
    const std::weak_ptr<const snapshot> observed = first;
    const pull_outcome applied = keeper.offer(std::move(first));
    BOOST_TEST((applied == pull_outcome::applied), (keeper.last_refusal() ? keeper.last_refusal()->detail : "none"));
    BOOST_TEST(!observed.expired());
    BOOST_TEST((keeper.offer(make(2)) == pull_outcome::applied));
    BOOST_TEST(observed.expired());
}

// Guards against whole configurations for peers that are a few versions behind, and against deltas that do not apply.
BOOST_AUTO_TEST_CASE(updates_of_peers_that_are_behind_are_small) {
    configuration_keeper keeper([](const std::shared_ptr<const snapshot>& /*applied*/) {});
    constexpr std::uint64_t newest = 12;
    for (std::uint64_t version = 1; version <= newest; ++version) {
        keeper.offer(make(version));
    }
    const auto target = make(newest);
    for (std::uint64_t version = 1; version < newest; ++version) {
        const auto held = make(version);
        const std::string update = keeper.update_since({held->version(), held->hash()});
        BOOST_TEST(update.size() < target->canonical_bytes().size() / 10, "version " << version);
        BOOST_TEST(snapshot_delta::apply(held.get(), update)->hash() == target->hash());
    }
    BOOST_TEST(keeper.update_since({newest, target->hash()}).empty());
    const std::string whole = keeper.update_since({3, std::string(64, '0')});
    BOOST_TEST(snapshot_delta::apply(nullptr, whole)->hash() == target->hash());
}

BOOST_AUTO_TEST_SUITE_END()
