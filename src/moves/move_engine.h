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

/// One call as its owner saw it end. Calls that a move's own refusal turned away are not reported.
struct call_sample {
    std::string service;
    std::string version;
    std::string route;
    call_outcome outcome = call_outcome::good;
    absl::Duration latency;
    absl::Time now;
};

/// Shifts traffic between versions as the declared moves say, judges the new versions and merges with other daemons.
/// Pure: time is an argument and nothing is sent or stored here.
///
/// Call order: `set_moves` on each new configuration, `set_upstream` when the upstream beside the daemon announces or
/// leaves, `observe` for each call of that upstream, `merge_remote` for each record received from a peer or the store,
/// `tick` about every 100 ms.
class move_engine {
public:
    /// @param daemon_id name of this daemon, unique in the mesh, at most move_call_counts::max_id_length bytes.
    /// @param incarnation grows with each start of the daemon, for example the start time.
    /// @param policy constants.
    /// @throws error if charts/move.ini is missing or lacks a state that the engine uses.
    move_engine(std::string daemon_id, std::uint64_t incarnation, const move_policy& policy = {});
    ~move_engine();
    move_engine(const move_engine&) = delete;
    move_engine& operator=(const move_engine&) = delete;

    /// Takes the moves of the configuration in force. Moves that are no longer declared end as replaced.
    /// @param moves by name.
    /// @param now present time.
    void set_moves(const std::map<std::string, move>& moves, absl::Time now);

    /// Says which upstream is beside this daemon.
    /// @param service its service, empty if there is none.
    /// @param version its version.
    /// @param now present time.
    void set_upstream(const std::string& service, const std::string& version, absl::Time now);

    /// Counts a call that the upstream beside this daemon has answered, failed or refused.
    void observe(const call_sample& sample);

    /// Merges a record of another daemon or of the store. Records of moves that are not declared are kept for a while,
    /// because the configuration may arrive after them.
    /// @return true if it changed anything.
    bool merge_remote(const move_record& record, absl::Time now);

    /// Judges the evidence and advances the moves.
    /// @return records that changed since the last call and that peers (and the store, for progress) should get.
    std::vector<move_record> tick(absl::Time now);

    /// @return for each service under a move the share of each of its two versions, from 0 to 1.
    std::map<std::string, std::map<std::string, double>> share_override() const;

    /// @return true if this daemon has stopped sending to this version: rolled back, or suspended until the other
    /// version's evidence arrives. An owner then refuses calls with an accurate "not run", as long as an upstream of
    /// another version is known.
    bool refuses(std::string_view service, std::string_view version) const;

    /// @return all records held, for repair of other daemons' tables.
    std::vector<move_record> records() const;

    /// @return the declared moves and those that ended in the last hour, ordered by identity.
    std::vector<move_status> statuses(absl::Time now) const;

    /// @param move_name name of a declared move.
    /// @return its status, or nothing.
    std::optional<move_status> status(std::string_view move_name, absl::Time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
