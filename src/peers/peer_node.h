#pragma once

#include "peers/gossip_queue.h"
#include "peers/membership.h"
#include "peers/messages.h"
#include "peers/opaque_record.h"
#include "peers/opaque_table.h"
#include "peers/peer_settings.h"
#include "peers/pull_scheduler.h"
#include "peers/upstream_directory.h"
#include "peers/upstream_record.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// An encoded datagram for the caller to send.
struct outgoing_datagram {
    endpoint to;
    message_kind kind = message_kind::ping;
    std::string bytes;
};

/// Actions that a peer_node requests from its caller, and the changes to its tables.
struct node_output {
    std::optional<message_kind> received; ///< Kind of the datagram passed to receive(); empty if it was dropped.
    std::vector<outgoing_datagram> datagrams;
    std::vector<pull_task> pulls;           ///< The caller reports the end of each to peer_node::finish_pull.
    std::vector<repair_task> repairs;       ///< The caller reports the end of each to peer_node::finish_repair.
    std::vector<member> members;            ///< Members whose state changed.
    std::vector<upstream_record> upstreams; ///< Upstream records that changed.
    std::vector<opaque_record> opaque;      ///< Records of the opaque table that changed.
    std::vector<opaque_record> reports;     ///< Records that a peer sent to this daemon only.
};

/// Numbers of datagrams and records that were dropped.
struct drop_counters {
    std::uint64_t malformed = 0;
    std::uint64_t too_large = 0;
    std::uint64_t other_mesh = 0;
};

/// Protocol state machine of a daemon: membership, replicated tables and distribution of configuration versions.
///
/// Uses no clock, socket, thread or logger. Not thread-safe; peer_server serializes access.
class peer_node {
public:
    /// @param settings the settings.
    /// @param rules the rules of the opaque table.
    /// @param now the start time. The initial incarnation is derived from it, so that a restarted daemon has a higher
    ///        one than before.
    /// @throws error with result_code::setting_conflict if the retention times contradict each other.
    peer_node(const peer_settings& settings, opaque_rules rules, absl::Time now);

    peer_node(const peer_node&) = delete;
    peer_node& operator=(const peer_node&) = delete;
    ~peer_node() = default;

    /// Advances timers. To be called about every 50 ms. A gap longer than the probe timeout counts as a pause of this
    /// daemon; probes that were pending in it do not cause suspicions.
    /// @return the datagrams to send, and the changes since the last call.
    node_output tick(absl::Time now, absl::BitGenRef random);

    /// Handles a datagram. One that does not decode or belongs to another mesh is dropped and counted.
    /// @param bytes the payload of the datagram.
    /// @return the datagrams to send, and the changes since the last call.
    node_output receive(std::string_view bytes, absl::Time now, absl::BitGenRef random);

    /// Announces an upstream of this daemon or changes its record. Sets the owner, incarnation and sequence; an
    /// unchanged record is not announced again.
    /// @return the announced record.
    /// @throws error with result_code::announcement_conflict if another live daemon has announced the id.
    upstream_record announce_upstream(upstream_record record, absl::Time now);

    /// Withdraws an upstream that this daemon announced; has no effect on others.
    void withdraw_upstream(const std::string& id, absl::Time now);

    /// Merges a record into the opaque table and sends it to peers if the table changed.
    /// @return true if the table changed.
    /// @throws error with result_code::message_too_large if the record exceeds max_opaque_bytes.
    bool put_opaque(const opaque_record& record, absl::Time now);

    /// Sends records to some daemons only. They enter no table and are neither acknowledged nor repeated, so the next
    /// report must include what a lost one said.
    /// @param to addresses of the receivers; this daemon's own is skipped.
    /// @param records records that each fit into a datagram; larger ones are dropped and counted.
    void send_reports(const std::vector<endpoint>& to, const std::vector<opaque_record>& records, absl::Time now);

    /// Adds addresses of daemons to join the mesh through.
    void add_contacts(const std::vector<endpoint>& contacts, absl::Time now);

    /// Sets whether this daemon watches the store and sees its changes at once; each datagram tells the peers.
    void set_follows_store(bool follows) {
        m_follows_store = follows;
    }

    /// Sets the daemons that follow the store on behalf of this one. They are probed more often to stay in contact.
    void set_store_followers(std::vector<endpoint> followers);

    /// @return the time at which one of the store followers last reported that it follows the store.
    absl::Time last_follower_contact() const {
        return m_last_follower_contact;
    }

    /// Sets the current configuration. Versions that are not newer are ignored.
    void set_configuration(const configuration_digest& current);

    /// Reports the end of a pull from node_output::pulls.
    void finish_pull(const pull_task& task, pull_outcome outcome, absl::Time now, absl::BitGenRef random);

    /// Reports the end of a repair from node_output::repairs.
    void finish_repair(const repair_task& task, bool is_ok, absl::Time now, absl::BitGenRef random);

    /// Leaves the mesh: withdraws this daemon's upstreams and notifies some peers. The next tick returns the datagrams.
    void leave(absl::Time now);

    /// @name Table repair. The initiator calls make_offer, plan_exchange and merge_records; the peer calls compare and
    /// exchange.
    /// @{

    /// @return the bucket hashes of the tables that differ.
    repair_offer make_offer(const repair_task& task) const;

    /// @return the buckets that differ from @p offered, with the fingerprints of their records.
    repair_difference compare(const repair_offer& offered) const;

    /// @return the records that the peer lacks, up to the size limit, and the fingerprints of those requested from it.
    repair_exchange plan_exchange(const repair_difference& difference, absl::Time now) const;

    /// Merges the records of the request.
    /// @return the wanted records, up to the size limit.
    repair_records exchange(const repair_exchange& request, absl::Time now);

    /// Merges records from a repair. Those that do not decode are skipped and counted.
    /// @return the number of records that changed a table.
    std::size_t merge_records(const std::vector<table_record>& records, absl::Time now);
    /// @}

    /// @return the upstreams of @p service that may receive requests: not leaving or withdrawn, owner not dead.
    std::vector<upstream_record> usable_upstreams(const std::string& service) const;

    /// @return true if this daemon has announced @p id and no later record of another daemon replaces that.
    bool is_own_upstream(const std::string& id) const {
        return m_own_upstreams.contains(id);
    }

    /// @return all upstream records, including tombstones.
    std::vector<upstream_record> upstreams() const;

    /// @return the record of @p id, which may be a tombstone, or null if there is none.
    const upstream_record* upstream(const std::string& id) const;

    std::vector<opaque_record> opaque_records() const;

    /// @return all members, including this daemon and those that are dead or have left.
    std::vector<member> members() const;

    std::vector<member> members(member_state state) const;

    const member& self() const {
        return m_membership.self();
    }

    const configuration_digest& current_configuration() const {
        return m_pull_scheduler.current();
    }

    /// @return the newest version in any digest received so far, pulled or not.
    std::uint64_t newest_heard_version() const {
        return m_pull_scheduler.newest_heard_version();
    }

    peer_digest digest() const;

    const drop_counters& drops() const {
        return m_drops;
    }

    /// @return true once the tables have been compared with those of a peer, or if there are no seeds but this daemon.
    bool is_joined() const {
        return m_is_joined;
    }

private:
    struct decoded_record {
        table_id table = table_id::members;
        std::optional<member> as_member;
        std::optional<upstream_record> as_upstream;
        std::optional<opaque_record> as_opaque;
        absl::Duration age;

        bool is_valid() const {
            return as_member || as_upstream || as_opaque;
        }
    };

    static decoded_record decode(const table_record& record);
    std::optional<datagram> decode(std::string_view bytes);
    void merge_record(const decoded_record& received, absl::Time now);
    void merge_upstream(const upstream_record& received, absl::Time now, absl::Duration age);
    bool merge_opaque(const opaque_record& received);
    bool is_owner_expired(const upstream_record& record, absl::Time now) const;
    void update_upstream(const upstream_record& changed, absl::Time now, absl::Duration age);
    void process_digest(const datagram& message, absl::Time now, absl::BitGenRef random);
    void request_repair_if_needed(const datagram& message, absl::Time now, absl::BitGenRef random);
    void withdraw_unannounced(absl::Time now);
    void process_member_changes(absl::Time now, absl::BitGenRef random);
    void reset_after_pause(absl::Time now);
    void sweep_upstreams(absl::Time now);
    void sweep_opaque();
    void request_notifications(int rounds);
    void send_notifications(absl::Time now, absl::BitGenRef random);
    void send(const probe_message& message, absl::Time now, std::vector<std::string> reports = {});
    node_output take_output(absl::Time now, absl::BitGenRef random);
    int transmissions() const;
    upstream_directory::owner_query owner_query() const;
    table_record encode_wanted(const record_fingerprint& wanted, absl::Time now) const;
    const bucket_index& index(table_id table) const;

    peer_settings m_settings;
    std::uint64_t m_mesh_hash;
    std::uint64_t m_incarnation;
    absl::Time m_start_time;
    membership m_membership;
    upstream_directory m_directory;
    opaque_table m_opaque_table;
    pull_scheduler m_pull_scheduler;
    gossip_queue m_gossip_queue;
    absl::flat_hash_map<std::string, upstream_record> m_own_upstreams;
    std::set<std::string>
        m_unannounced; ///< Ids of records with this daemon as owner that were not announced in this run.
    std::set<endpoint> m_dead_members; ///< Members last reported dead, to detect their return.
    node_output m_pending_output;
    drop_counters m_drops;
    std::size_t m_next_swept_bucket = 0;
    absl::Time m_next_opaque_sweep = absl::InfinitePast();
    absl::Time m_next_repair = absl::InfinitePast();
    absl::Duration m_repair_delay;
    std::optional<repair_task> m_running_repair;
    absl::Time m_next_notify = absl::InfinitePast();
    absl::Time m_notify_refill_time;
    double m_notify_tokens;
    int m_pending_notify_rounds = 0; ///< Notification rounds still to be sent.
    bool m_is_joined = false;
    bool m_follows_store = false;
    std::vector<endpoint> m_store_followers;
    absl::Time m_last_follower_contact = absl::InfinitePast();
};

} // namespace amaranthladder
