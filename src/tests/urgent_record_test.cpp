#include "fakes/peer_network.h"
#include "fakes/peer_scenario.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <ostream>
#include <string>

using namespace amaranthladder;
using namespace amaranthladder::fakes;

BOOST_AUTO_TEST_SUITE(urgent_record_test)

namespace {

constexpr std::size_t daemon_count = 95;
constexpr std::size_t verdict_bytes = 200;

struct storm_row {
    const char* name;
    std::size_t records_per_daemon; ///< Other records that each daemon has changed before the urgent one.
    bool are_upstreams_leaving;
    bool are_some_frozen;
    double loss;

    friend std::ostream& operator<<(std::ostream& out, const storm_row& row) {
        return out << row.name;
    }
};

const storm_row storm_rows[] = {
    {"nothing else changes", 0, false, false, 0},
    {"each daemon has changed ten other records", 10, false, false, 0},
    {"a third of the upstreams leaves", 2, true, false, 0},
    {"a tenth of the daemons is frozen", 2, false, true, 0},
    {"a tenth of the datagrams is lost", 2, false, false, 0.1},
};

peer_settings make_settings() {
    peer_settings settings;
    settings.mesh = "tirol";
    settings.probe_interval = absl::Milliseconds(300);
    settings.probe_timeout = absl::Milliseconds(150);
    return settings;
}

} // namespace

// Guards against an order's outcome that waits behind other news: on kufenbach-mesh-large trouble-3 a rollback took 7 s
// from the first to the last of 95 daemons, while call counts filled all messages and notifications were used up.
BOOST_DATA_TEST_CASE(reaches_all_daemons_during_a_storm, storm_rows, row) {
    peer_network network(daemon_count, make_settings(), scenario_seed());
    start_all(network);
    network.run_for(absl::Seconds(15));
    network.faults.loss = row.loss;
    for (std::size_t node = 0; node < daemon_count; ++node) {
        for (std::size_t number = 0; number < row.records_per_daemon; ++number) {
            const std::string key = "counts/" + std::to_string(node) + "/" + std::to_string(number);
            network.put_record(node, {key, std::string(verdict_bytes, 'c')});
        }
        if (row.are_upstreams_leaving && node % 3 == 0) {
            network.set_leaving(node);
        }
        if (row.are_some_frozen && node % 10 == 5) {
            network.freeze(node);
        }
    }
    network.run_for(absl::Milliseconds(300));
    const std::string key = std::string(peer_network::urgent_key_prefix) + "verdict";
    network.put_record(1, {key, std::string(verdict_bytes, 'v')});
    // The model advances daemons every 100 ms; a daemon sends what it put itself without that delay.
    network.run_for(absl::Milliseconds(400));
    BOOST_TEST(network.fraction_holding(key) >= 0.99);
    network.run_for(absl::Milliseconds(600));
    BOOST_TEST(network.fraction_holding(key) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
