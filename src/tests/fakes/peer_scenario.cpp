#include "tests/fakes/peer_scenario.h"

#include <cstdlib>

namespace amaranthladder::fakes {

namespace {

constexpr absl::Duration start_time = absl::Seconds(20);
constexpr absl::Duration settle_time = absl::Seconds(75);

void begin_fault(peer_network& network, fault kind) {
    const std::size_t count = network.size();
    switch (kind) {
    case fault::none:
        break;
    case fault::loss:
        network.faults.loss = 0.3;
        break;
    case fault::duplicates:
        network.faults.duplication = 0.3;
        break;
    case fault::reordering:
        network.faults.longest_delay = absl::Milliseconds(400);
        break;
    case fault::misdelivery:
        network.faults.misdelivery = 0.1;
        break;
    case fault::delays:
        network.faults.shortest_delay = absl::Milliseconds(50);
        network.faults.longest_delay = absl::Milliseconds(120);
        break;
    case fault::one_killed:
        network.kill(count / 2);
        break;
    case fault::one_frozen:
        network.freeze(count / 2 + 1);
        break;
    case fault::half_killed:
        for (std::size_t node = 0; node < count; node += 2) {
            network.kill(node);
        }
        break;
    case fault::all_restarted:
        for (std::size_t node = 0; node < count; ++node) {
            network.start(node);
            network.announce(node, "v2");
        }
        // After the restart, a holder of a watcher lease gets the newest version from the store.
        network.publish(1);
        break;
    case fault::partition:
        network.partition();
        break;
    case fault::upstream_leaves:
        network.set_leaving(3);
        break;
    case fault::upstream_withdrawn:
        network.withdraw(3);
        break;
    }
}

void end_fault(peer_network& network, fault kind) {
    if (kind == fault::one_frozen) {
        network.resume(network.size() / 2 + 1);
    } else if (kind == fault::partition) {
        network.heal();
    }
}

/// Applies changes of all kinds at two daemons that are running in every row, one on each side of the partition.
void apply_changes(peer_network& network, int round) {
    for (const std::size_t node : {std::size_t{1}, std::size_t{4}}) {
        if (network.is_running(node)) {
            network.announce(node, "v" + std::to_string(2 + round));
            network.put_opaque(node);
        }
    }
    network.publish(1);
}

} // namespace

std::uint64_t scenario_seed() {
    const char* const given = std::getenv("PEER_TEST_SEED");
    return given == nullptr ? 1 : std::stoull(given);
}

void start_all(peer_network& network) {
    for (std::size_t node = 0; node < network.size(); ++node) {
        network.start(node);
        network.announce(node, "v1");
    }
    network.publish(0);
}

std::string run_fault_scenario(peer_network& network, fault first, fault second, absl::Duration fault_time) {
    start_all(network);
    network.run_for(start_time);
    if (const std::string problem = network.disagreement(); !problem.empty()) {
        return "after the start: " + problem;
    }
    begin_fault(network, first);
    begin_fault(network, second);
    for (int round = 0; round < 4; ++round) {
        apply_changes(network, round);
        network.run_for(fault_time / 4);
    }
    end_fault(network, first);
    end_fault(network, second);
    network.run_for(settle_time);
    return network.violations().empty() ? network.disagreement() : network.violations().front();
}

} // namespace amaranthladder::fakes
