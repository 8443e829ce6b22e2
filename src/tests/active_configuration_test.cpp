#include "daemon/active_configuration.h"

#include "config/snapshot_delta.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(active_configuration_test)

namespace {

constexpr int route_count = 200;

/// @return a configuration of 200 routes, of which one differs between versions.
std::shared_ptr<const snapshot> make_snapshot(std::uint64_t version) {
    intended_state state;
    state.services["tienda"] = {"tienda", absl::Seconds(1), 16, {"a.ini", 1}};
    for (int number = 0; number < route_count; ++number) {
        route added;
        added.name = fmt::format("kits-{}", number);
        added.service = "tienda";
        added.path_prefix = fmt::format("/kits-{}", number);
        added.timeout = absl::Milliseconds(number == 0 ? 100 * version : 100);
        added.origin = {"a.ini", 2};
        state.routes[added.name] = added;
    }
    return snapshot::create(version, absl::UnixEpoch(), "operator", state);
}

} // namespace

// Guards against keeping the decoded state of earlier versions: after twenty changes of a configuration with 800 routes
// it used 8 MB in each daemon (kufenbach-mesh-grown quiet-1).
BOOST_AUTO_TEST_CASE(keeps_earlier_versions_encoded) {
    active_configuration configuration([](const std::shared_ptr<const snapshot>& /*applied*/) {});
    std::shared_ptr<const snapshot> first = make_snapshot(1);
    const std::weak_ptr<const snapshot> observed = first;
    const pull_outcome applied = configuration.apply(std::move(first));
    BOOST_TEST((applied == pull_outcome::applied),
               (configuration.last_refusal() ? configuration.last_refusal()->detail : "none"));
    BOOST_TEST(!observed.expired());
    BOOST_TEST((configuration.apply(make_snapshot(2)) == pull_outcome::applied));
    BOOST_TEST(observed.expired());
}

// Peers that are a few versions behind get deltas instead of whole snapshots, and each delta can be applied.
BOOST_AUTO_TEST_CASE(sends_small_deltas_to_lagging_peers) {
    active_configuration configuration([](const std::shared_ptr<const snapshot>& /*applied*/) {});
    constexpr std::uint64_t newest = 12;
    for (std::uint64_t version = 1; version <= newest; ++version) {
        configuration.apply(make_snapshot(version));
    }
    const auto target = make_snapshot(newest);
    for (std::uint64_t version = 1; version < newest; ++version) {
        const auto held = make_snapshot(version);
        const std::string update = configuration.update_since({held->version(), held->hash()});
        BOOST_TEST(update.size() < target->canonical_bytes().size() / 10, "version " << version);
        BOOST_TEST(snapshot_delta::apply(held.get(), update)->hash() == target->hash());
    }
    BOOST_TEST(configuration.update_since({newest, target->hash()}).empty());
    const std::string whole = configuration.update_since({3, std::string(64, '0')});
    BOOST_TEST(snapshot_delta::apply(nullptr, whole)->hash() == target->hash());
}

BOOST_AUTO_TEST_SUITE_END()
