#pragma once

#include "common/steady_clock.h"
#include "config/intended_state.h"
#include "http/proxy_statistics.h"
#include "moves/move_engine.h"
#include "moves/move_record.h"
#include "moves/move_status.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Thread-safe wrapper of the move engine: the event loop reports calls, the control loop advances the moves, and peer
/// threads merge records.
class move_service {
public:
    /// @param daemon_id id of this daemon, unique in the mesh.
    /// @param clock must outlive the service.
    move_service(const std::string& daemon_id, const steady_clock& clock);

    /// Sets the moves declared by the current configuration, by name.
    void set_moves(const std::map<std::string, move>& moves);

    /// Sets the upstream beside this daemon; @p service is empty if there is none.
    void set_upstream(const std::string& service, const std::string& version);

    /// Sets whether this daemon receives the call counts of all daemons and decides on moves.
    void set_is_decider(bool is_decider);

    /// Counts a call of the upstream beside this daemon.
    void observe(const upstream_call_result& call);

    /// Merges a record of another daemon.
    /// @return true if it changed the state.
    bool merge_remote(const move_record& record);

    /// Advances the moves.
    /// @return changed records, to be sent to the peers.
    std::vector<move_record> tick();

    /// @return for each service with a move, the share of each of its two versions, from 0 to 1.
    std::map<std::string, std::map<std::string, double>> share_override() const;

    /// @return true if this daemon sends no calls to the version, because it was rolled back or is suspended.
    bool refuses(const std::string& service, const std::string& version) const;

    std::vector<move_status> statuses() const;

    /// @return the status of the move @p move_name; empty if the move is unknown.
    std::optional<move_status> status(const std::string& move_name) const;

private:
    const steady_clock& m_clock;
    mutable absl::Mutex m_mutex;
    move_engine m_engine ABSL_GUARDED_BY(m_mutex);
};

} // namespace amaranthladder
