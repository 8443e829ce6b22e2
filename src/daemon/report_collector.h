#pragma once

#include "moves/move_status.h"
#include "report/month_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// Creates the month records of this daemon: outcomes of moves and traffic samples. Does no I/O; the time is an
/// argument.
///
/// Only holders of a watcher lease write records, so that the number of store writes does not grow with the fleet. An
/// outcome has the same id on every daemon and is therefore counted once; samples of control traffic and convergence
/// are taken on the holders only.
class report_collector {
public:
    /// Time that one sample covers. Two holders in each of 13 data centres then write 26 samples in ten minutes.
    static constexpr absl::Duration sample_window = absl::Minutes(10);

    /// @param daemon_id id of this daemon in the samples.
    /// @param now start of the first sample window.
    report_collector(std::string daemon_id, absl::Time now);

    /// Records the time from the publication of a configuration version until this daemon applied it.
    void record_convergence(absl::Duration elapsed);

    /// @param moves all moves known.
    /// @param control_bytes control-plane bytes that this daemon has sent and received since its start.
    /// @return new records: outcomes of moves that have ended since the last call, and a sample if the window is over.
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
