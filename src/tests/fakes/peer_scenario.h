#pragma once

#include "tests/fakes/peer_network.h"

#include <cstdint>
#include <ostream>
#include <string>

namespace amaranthladder::fakes {

/// Fault of a daemon, or of the network for the duration of the fault phase.
enum class fault {
    none,
    loss,
    duplicates,
    reordering,
    misdelivery,
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

inline const fault_row fault_rows[] = {
    {"no fault", fault::none},
    {"30% of datagrams lost", fault::loss},
    {"30% of datagrams duplicated", fault::duplicates},
    {"reordering within 400 ms", fault::reordering},
    {"10% of datagrams delivered to a random daemon", fault::misdelivery},
    {"delays of 50 to 120 ms", fault::delays},
    {"one daemon killed", fault::one_killed},
    {"one daemon frozen beyond the suspicion time", fault::one_frozen},
    {"half of the daemons killed", fault::half_killed},
    {"all daemons restarted", fault::all_restarted},
    {"partition with changes on both sides", fault::partition},
    {"an upstream leaves", fault::upstream_leaves},
    {"an upstream is withdrawn", fault::upstream_withdrawn},
};

/// @return the seed in the environment variable PEER_TEST_SEED, or 1 if it is not set.
std::uint64_t scenario_seed();

/// Starts all daemons, each with an upstream, and publishes version 1.
void start_all(peer_network& network);

/// Starts all daemons, applies two faults at once for @p fault_time during changes of all kinds, ends them and waits
/// for the daemons to converge.
/// @return the fault found afterwards, see peer_network::disagreement(); empty if there is none.
std::string run_fault_scenario(peer_network& network, fault first, fault second, absl::Duration fault_time);

} // namespace amaranthladder::fakes
