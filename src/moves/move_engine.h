#pragma once

#include "config/intended_state.h"
#include "moves/move_policy.h"
#include "moves/move_record.h"
#include "moves/move_status.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// The result of one call as its owner saw it. Calls that the owner rejects because of `move_engine::refuses` are not
/// reported.
struct call_sample {
    std::string service;
    std::string version;
    std::string route;
    call_outcome outcome = call_outcome::good;
    absl::Duration latency;
    absl::Time now;
};

/// Shifts traffic between versions according to the declared moves, decides whether the new versions are healthy, and
/// merges its state with that of other daemons. Does no I/O and reads no clock: callers pass the time and send the
/// records.
///
/// Call order: `set_moves` on each new configuration, `set_upstream` when the upstream beside the daemon joins or
/// leaves, `observe` for each call of that upstream, `merge_remote` for each record received from a peer or the store,
/// `tick` about every 100 ms.
class move_engine {
public:
    /// @param daemon_id name of this daemon, unique in the mesh, at most move_call_counts::max_id_length bytes.
    /// @param incarnation grows with each start of the daemon, for example the start time.
    /// @param policy parameters of configured moves.
    /// @param order_policy parameters of operators' orders.
    /// @throws error if charts/move.ini is missing or lacks a state that the engine uses.
    move_engine(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy = {},
                const move_policy& order_policy = order_move_policy());
    ~move_engine();
    move_engine(const move_engine&) = delete;
    move_engine& operator=(const move_engine&) = delete;

    /// Sets the moves declared by the current configuration. Moves that are no longer declared end as replaced.
    /// @param moves moves by name.
    /// @param now current time.
    void set_moves(const std::map<std::string, move>& moves, absl::Time now);

    /// Sets the upstream beside this daemon.
    /// @param service its service; empty if there is no upstream.
    /// @param version its version.
    /// @param now current time.
    void set_upstream(const std::string& service, const std::string& version, absl::Time now);

    /// Sets whether this daemon decides on moves; a new engine does. Call counts are sent to a few daemons, which
    /// decide; a daemon that knows only its own calls must not.
    void set_is_decider(bool is_decider);

    /// Counts a call that the upstream beside this daemon has answered, failed or refused.
    void observe(const call_sample& sample);

    /// Merges a record from another daemon or from the store. Progress of moves that are not declared is kept for
    /// move_policy::ended_retention, because the configuration may arrive later.
    /// @return true if it changed anything.
    bool merge_remote(const move_record& record, absl::Time now);

    /// Evaluates the call counts and advances the moves.
    /// @return records to send to peers (progress also to the store).
    std::vector<move_record> tick(absl::Time now);

    /// @return for each service with a move, the share of each of its two versions, from 0 to 1.
    std::map<std::string, std::map<std::string, double>> share_override() const;

    /// @return true if this daemon sends no calls to this version, because it was rolled back or is suspended until the
    /// old version's call counts arrive. The owner then refuses calls and reports them as not run, as long as it knows
    /// an upstream of another version.
    bool refuses(std::string_view service, std::string_view version) const;

    /// @return all records held, for the repair of other daemons' tables.
    std::vector<move_record> records() const;

    /// @return the status of the declared moves and of those that ended within move_policy::ended_retention, ordered by
    /// identity.
    std::vector<move_status> statuses(absl::Time now) const;

    /// @param move_name name of a declared move.
    /// @return its status; empty if the move is unknown.
    std::optional<move_status> status(std::string_view move_name, absl::Time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
