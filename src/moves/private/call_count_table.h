#pragma once

#include "moves/move_policy.h"
#include "moves/move_record.h"
#include "moves/private/call_count_delta.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace amaranthladder {

/// The evidence rows of one move: this daemon's own counts and the latest rows of other daemons.
///
/// Contributors' clocks may be wrong by seconds. A row carries the contributor's time; the least difference between
/// arrival and that time is taken as the clock's offset, so that only differences of the contributor's clock are used.
class call_count_table {
public:
    call_count_table(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy);

    /// Says whether this daemon has an upstream of a side.
    void set_has_upstream(move_side side, bool has_upstream);

    /// Counts a call of the upstream beside this daemon.
    void count(move_side side, const std::string& route, call_outcome outcome, absl::Duration latency);

    /// @return the calls counted by this daemon since the last call of this function.
    std::vector<call_count_delta> take_own_deltas(absl::Time now);

    /// Takes another daemon's row.
    /// @param row the row.
    /// @param now time of arrival.
    /// @param delta set to the calls that the row adds.
    /// @return true if the row was newer than the one held.
    bool merge(const move_call_counts& row, absl::Time now, call_count_delta& delta);

    /// @param is_urgent true if this daemon sees signs of a fault: rows are due sooner and marked.
    /// @param is_peer_urgent true if another daemon has sent such rows: rows are due sooner.
    /// @param now present time.
    /// @return own rows that are due for sending.
    std::vector<move_call_counts> take_due(bool is_urgent, bool is_peer_urgent, absl::Time now);

    /// @return all rows held.
    std::vector<move_call_counts> rows() const;

    /// @return true if a daemon with an upstream of @p side sent a row recently, or this daemon has one.
    bool has_recent_upstream(move_side side, absl::Time now) const;

    /// @return true if a daemon ever had an upstream of @p side.
    bool has_seen(move_side side) const;

    /// @return true if each daemon that had an upstream of @p side said that it has it no longer.
    bool has_no_upstream(move_side side) const;

    /// @return number of other daemons with recent rows.
    std::size_t contributors(absl::Time now) const;

private:
    struct contributor {
        absl::Duration clock_offset = absl::InfiniteDuration(); ///< Least arrival time minus the contributor's time.
        absl::Time received_at = absl::InfinitePast();
        std::map<std::pair<move_side, std::string>, move_call_counts> rows;

        bool has_upstream(move_side side) const;
        absl::Time last_counted(std::uint64_t incarnation) const;
    };

    struct own_row {
        move_call_counts total;
        call_count_delta pending;
        bool is_changed = true;
        absl::Time sent_at = absl::InfinitePast();
    };

    own_row& own_row_for(move_side side, const std::string& route);
    void prune(absl::Time now);

    std::string m_daemon_id;
    std::uint64_t m_incarnation;
    move_policy m_policy;
    std::map<std::pair<move_side, std::string>, own_row> m_own;
    std::map<move_side, bool> m_has_upstream;
    std::map<std::string, contributor> m_contributors;
    absl::Time m_taken_at = absl::InfinitePast();
    std::uint64_t m_sequence = 0;
};

} // namespace amaranthladder
