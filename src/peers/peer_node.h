#pragma once

#include "peers/distributor.h"
#include "peers/messages.h"
#include "peers/opaque_record.h"
#include "peers/peer_settings.h"
#include "peers/upstream_record.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// A datagram for the caller to send.
struct outgoing_datagram {
    endpoint to;
    message_kind kind = message_kind::ping;
    std::string bytes;
};

/// What a peer_node asks its caller to do, and what changed.
struct node_output {
    std::vector<outgoing_datagram> datagrams;
    std::vector<pull_order> pulls;          ///< Each is answered with peer_node::finish_pull.
    std::vector<endpoint> repairs;          ///< Peers to repair tables with; each is answered with finish_repair.
    std::vector<member> members;            ///< Members whose state changed.
    std::vector<upstream_record> upstreams; ///< Upstream records that changed.
    std::vector<opaque_record> opaque;      ///< Records of the opaque table that changed.

    /// Appends the content of @p other.
    void append(node_output&& other);
};

/// Counts of datagrams that were dropped.
struct drop_counters {
    std::uint64_t malformed = 0;
    std::uint64_t too_large = 0;
    std::uint64_t other_mesh = 0;
};

/// A daemon's part in membership, replicated tables and distribution of configuration versions.
///
/// Pure: no clock, socket, thread or logger. Not synchronized; peer_server guards it.
class peer_node {
public:
    /// @param settings the settings.
    /// @param rules how records of the opaque table are merged.
    /// @param now the time of the start; the first incarnation is derived from it, so that a restarted daemon has a
    ///        higher one than its earlier run.
    /// @throws error with result_code::setting_conflict if the retention times contradict each other.
    peer_node(peer_settings settings, opaque_rules rules, absl::Time now);

    /// Advances timers. To be called about every 50 ms; a call that is late by more than the probe timeout is taken as
    /// a pause of this daemon, in which it suspects nobody.
    /// @return datagrams to send and changes since the last call.
    node_output tick(absl::Time now, absl::BitGenRef random);

    /// Takes a datagram. One that does not decode or belongs to another mesh is dropped and counted.
    /// @param bytes the datagram's payload.
    /// @return datagrams to send and changes.
    node_output receive(std::string_view bytes, absl::Time now, absl::BitGenRef random);

    /// Announces an upstream beside this daemon or changes its record. The owner, incarnation and sequence are set
    /// here; a record without a change is not announced again.
    /// @return the record as announced.
    upstream_record announce_upstream(upstream_record record, absl::Time now);

    /// Withdraws an upstream that this daemon announced; does nothing for others.
    void withdraw_upstream(const std::string& id, absl::Time now);

    /// Merges a record into the opaque table and spreads it if that changed it.
    /// @return true if the table changed.
    bool put_opaque(const opaque_record& record, absl::Time now);

    /// States the configuration in force. Lower or equal versions are ignored.
    void set_configuration(const configuration_digest& held);

    /// Ends a pull of node_output::pulls.
    void finish_pull(const pull_order& order, pull_outcome outcome, absl::Time now, absl::BitGenRef random);

    /// Ends a repair of node_output::repairs.
    void finish_repair(const endpoint& peer, bool is_ok, absl::Time now, absl::BitGenRef random);

    /// Leaves the mesh: withdraws own upstreams and tells some peers. The datagrams are returned by the next tick.
    void leave(absl::Time now);

    /// @name Table repair. The initiator calls offer, plan and absorb; the peer calls compare and exchange.
    /// @{
    repair_offer offer() const;
    repair_difference compare(const repair_offer& offered, absl::Time now) const;
    repair_exchange plan(const repair_difference& difference, absl::Time now) const;
    repair_records exchange(const repair_exchange& request, absl::Time now);
    /// @return the number of records that changed a table.
    std::size_t absorb(const std::vector<table_record>& records, absl::Time now);
    /// @}

    /// @return upstreams of @p service that may get requests: neither leaving nor withdrawn, and of an owner that is
    ///         not dead.
    std::vector<upstream_record> usable_upstreams(const std::string& service) const;

    /// @return all upstream records, tombstones included.
    std::vector<upstream_record> upstreams() const;

    const upstream_record* upstream(const std::string& id) const;
    std::vector<opaque_record> opaque_records() const;
    std::vector<member> members() const;
    std::vector<member> members(member_state state) const;
    const member& self() const;
    const configuration_digest& held_configuration() const;

    /// @return the newest version heard of, held or not.
    std::uint64_t newest_heard_version() const;

    peer_digest digest() const;
    const drop_counters& drops() const;

    /// @return true once a first repair of the tables has succeeded, or if there is no peer to ask.
    bool is_joined() const;
};

} // namespace amaranthladder
