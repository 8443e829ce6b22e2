#pragma once

#include "moves/move_status.h"
#include "report/month_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// Makes the month's records from what this daemon sees. Pure: time is an argument.
///
/// Only holders of a watcher lease write records, so that the store's writes do not grow with the fleet: outcomes have
/// the same id at each daemon and count once, and samples of control bytes and convergence come from the holders alone.
class report_collector {
public:
    /// Length of the window of one sample. Two holders in 13 data centres then write 26 samples in ten minutes.
    static constexpr absl::Duration sample_window = absl::Minutes(10);

    /// @param daemon_id name in the samples.
    /// @param now start of the first window.
    report_collector(std::string daemon_id, absl::Time now);

    /// Notes how long a configuration version took from its publication to this daemon.
    void record_convergence(absl::Duration elapsed);

    /// @param moves all moves known.
    /// @param control_bytes control-plane bytes sent and received since the start of the daemon.
    /// @return records that were not returned before: outcomes of ended moves, and a sample when its window is over.
    std::vector<month_record> collect(const std::vector<move_status>& moves, std::uint64_t control_bytes,
                                      absl::Time now);

private:
    std::string m_daemon_id;
    absl::Time m_window_start;
    std::uint64_t m_window_start_bytes = 0;
    std::vector<std::uint32_t> m_convergence_ms;
    std::set<move_identity> m_reported_moves;
};

} // namespace amaranthladder
