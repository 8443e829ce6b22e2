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

/// Holds the call counts of one move: this daemon's own rows and the latest rows of other daemons (contributors).
///
/// Clocks of contributors may be wrong by seconds. A row carries the contributor's time; the smallest difference seen
/// between the arrival time and that time serves as the clock's offset, so only differences of the contributor's clock
/// matter.
class call_count_table {
public:
    call_count_table(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy);

    /// Sets whether this daemon has an upstream of the version @p side.
    void set_has_upstream(move_side side, bool has_upstream);

    /// Counts a call to the upstream beside this daemon.
    void count(move_side side, const std::string& route, call_outcome outcome, absl::Duration latency);

    /// @return the calls counted by this daemon since the previous call of this function.
    std::vector<call_count_delta> take_own_deltas(absl::Time now);

    /// Merges a row of another daemon.
    /// @param row the row.
    /// @param now time of arrival.
    /// @param delta receives the calls that the row adds.
    /// @return true if the row was newer than the one held.
    bool merge(const move_call_counts& row, absl::Time now, call_count_delta& delta);

    /// @param is_urgent true if this daemon suspects a fault: rows are due sooner and marked as urgent.
    /// @param is_peer_urgent true if another daemon has sent urgent rows: rows are due sooner.
    /// @param now current time.
    /// @return this daemon's rows that are due for sending.
    std::vector<move_call_counts> take_due(bool is_urgent, bool is_peer_urgent, absl::Time now);

    /// @return all rows held, including those of other daemons.
    std::vector<move_call_counts> rows() const;

    /// @return true if this daemon or a contributor that is not timed out has an upstream of @p side.
    bool has_recent_upstream(move_side side, absl::Time now) const;

    /// @return true if the upstream beside this daemon is of @p side.
    bool has_own_upstream(move_side side) const {
        const auto found = m_has_upstream.find(side);
        return found != m_has_upstream.end() && found->second;
    }

    /// @return true if any daemon, including this one, has ever reported rows of @p side.
    bool has_seen(move_side side) const;

    /// @return true if no daemon's latest rows report an upstream of @p side, however old those rows are.
    bool has_no_upstream(move_side side) const;

    /// @return number of other daemons with recent rows.
    std::size_t contributors(absl::Time now) const;

private:
    struct contributor {
        absl::Duration clock_offset = absl::InfiniteDuration(); ///< Smallest arrival time minus the contributor's time.
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
