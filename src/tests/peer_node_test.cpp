#include "tests/fakes/peer_network.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <ostream>
#include <string>

using namespace amaranthladder;
using fakes::peer_network;

BOOST_AUTO_TEST_SUITE(peer_node_test)

std::uint64_t first_seed() {
    const char* const given = std::getenv("PEER_TEST_SEED");
    return given == nullptr ? 1 : std::stoull(given);
}

/// What happens to the daemons of a row, or to the network for as long as the row lasts.
enum class fault {
    none,
    loss,
    duplicates,
    reordering,
    crossed,
    delays,
    one_killed,
    one_frozen,
    half_killed,
    all_restarted,
    partition,
    upstream_leaves,
    upstream_withdrawn,
};

struct fault_row {
    const char* name;
    fault kind;

    friend std::ostream& operator<<(std::ostream& out, const fault_row& row) {
        return out << row.name;
    }
};

const fault_row fault_rows[] = {
    {"no fault", fault::none},
    {"30% of datagrams lost", fault::loss},
    {"30% of datagrams twice", fault::duplicates},
    {"reordering within 400 ms", fault::reordering},
    {"10% of datagrams at the wrong daemon", fault::crossed},
    {"delays of 50 to 120 ms", fault::delays},
    {"one daemon killed", fault::one_killed},
    {"one daemon frozen past suspicion", fault::one_frozen},
    {"half of the daemons killed", fault::half_killed},
    {"all daemons restarted", fault::all_restarted},
    {"two sides cut with changes on both", fault::partition},
    {"an upstream leaves", fault::upstream_leaves},
    {"an upstream is withdrawn", fault::upstream_withdrawn},
};

constexpr absl::Duration start_time = absl::Seconds(20);
constexpr absl::Duration settle_time = absl::Seconds(75);

void start_all(peer_network& network) {
    for (std::size_t node = 0; node < network.size(); ++node) {
        network.start(node);
        network.announce(node, "v1");
    }
    network.publish(0);
}

void begin(peer_network& network, fault kind) {
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
    case fault::crossed:
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
        // The store gives the newest version back to a seat holder.
        network.publish(1);
        break;
    case fault::partition:
        network.cut();
        break;
    case fault::upstream_leaves:
        network.set_leaving(3);
        break;
    case fault::upstream_withdrawn:
        network.withdraw(3);
        break;
    }
}

void end(peer_network& network, fault kind) {
    if (kind == fault::one_frozen) {
        network.resume(network.size() / 2 + 1);
    } else if (kind == fault::partition) {
        network.heal();
    }
}

/// Changes of all kinds at two daemons that run in every row, one on each side of the partition.
void change(peer_network& network, int round) {
    for (const std::size_t node : {std::size_t{1}, std::size_t{4}}) {
        if (network.is_running(node)) {
            network.announce(node, "v" + std::to_string(2 + round));
            network.put_opaque(node);
        }
    }
    network.publish(1);
}

/// Runs two faults at once and returns what is wrong afterwards.
std::string run(peer_network& network, fault first, fault second, absl::Duration fault_time) {
    start_all(network);
    network.run_for(start_time);
    if (const std::string wrong = network.disagreement(); !wrong.empty()) {
        return "after the start: " + wrong;
    }
    begin(network, first);
    begin(network, second);
    for (int round = 0; round < 4; ++round) {
        network.run_for(fault_time / 4);
        change(network, round);
    }
    end(network, first);
    end(network, second);
    network.run_for(settle_time);
    return network.violations().empty() ? network.disagreement() : network.violations().front();
}

// Guards against daemons that end with different members, upstreams, versions or opaque records after a fault.
BOOST_DATA_TEST_CASE(agrees_after_fault, fault_rows, row) {
    const std::uint64_t seed = first_seed();
    peer_network network(40, peer_settings(), seed);
    const auto fault_time = row.kind == fault::partition ? absl::Minutes(3) : absl::Seconds(40);
    const std::string wrong = run(network, row.kind, fault::none, fault_time);
    BOOST_TEST_MESSAGE(row.name << ": seed " << seed << ", " << network.events() << " events, "
                                << network.deaths_declared() << " deaths declared");
    BOOST_TEST(wrong == "");
}

BOOST_AUTO_TEST_SUITE_END()
