#pragma once

#include "tests/fakes/peer_network.h"

#include <cstdint>
#include <ostream>
#include <string>

namespace amaranthladder::fakes {

/// What happens to the daemons of a row, or to the network for as long as the row lasts.
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
    {"30% of datagrams twice", fault::duplicates},
    {"reordering within 400 ms", fault::reordering},
    {"10% of datagrams at the wrong daemon", fault::misdelivery},
    {"delays of 50 to 120 ms", fault::delays},
    {"one daemon killed", fault::one_killed},
    {"one daemon frozen past suspicion", fault::one_frozen},
    {"half of the daemons killed", fault::half_killed},
    {"all daemons restarted", fault::all_restarted},
    {"two sides cut with changes on both", fault::partition},
    {"an upstream leaves", fault::upstream_leaves},
    {"an upstream is withdrawn", fault::upstream_withdrawn},
};

/// @return the seed of the environment variable PEER_TEST_SEED, or 1.
std::uint64_t scenario_seed();

/// Starts all daemons with an upstream each and publishes version 1.
void start_all(peer_network& network);

/// Starts all daemons, lets two faults happen at once for @p fault_time with changes of all kinds, ends them and waits
/// for the daemons to agree.
/// @return what is wrong afterwards; empty if nothing is.
std::string run_fault_scenario(peer_network& network, fault first, fault second, absl::Duration fault_time);

} // namespace amaranthladder::fakes
