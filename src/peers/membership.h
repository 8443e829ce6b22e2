#pragma once

#include "common/endpoint.h"
#include "peers/member_table.h"
#include "peers/messages.h"
#include "peers/peer_settings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// A message for the caller to send.
struct probe_message {
    endpoint to;
    message_kind kind = message_kind::ping;
    std::uint64_t sequence = 0;
    endpoint target;
};

/// SWIM failure detector and member list: probes, indirect probes, suspicion and incarnation numbers. Performs no I/O.
///
/// One live member is probed in each probe interval, in an order that is shuffled for each pass over all members. A
/// member that answers neither directly nor through relays becomes suspected, and dead unless it refutes the suspicion
/// in time. Dead members and unreachable seeds are probed at a lower rate, so that partitions heal.
class membership {
public:
    /// @param settings the settings; must outlive this object.
    /// @param incarnation the initial incarnation of this daemon.
    /// @throws error with a chart code if charts/member.ini does not fit member_state.
    membership(const peer_settings& settings, std::uint64_t incarnation);

    /// Advances timers.
    /// @return the messages to send.
    std::vector<probe_message> tick(absl::Time now, absl::BitGenRef random);

    /// Handles a ping, ack or ping_req. The caller passes the sender's record and the piggybacked ones to merge().
    /// @return the messages to send.
    std::vector<probe_message> receive(const datagram& message, absl::Time now);

    /// Merges a record received from a peer.
    /// @param age time since the record became a tombstone.
    void merge(const member& received, absl::Time now, absl::Duration age = absl::ZeroDuration());

    /// Adds addresses to join through, in addition to the seeds of the settings.
    void add_contacts(const std::vector<endpoint>& contacts, absl::Time now);

    /// Marks this daemon as having left.
    void leave(absl::Time now);

    /// Removes all other members, but keeps some of their addresses to join through.
    void reset(absl::Time now);

    /// Sets members that are probed in every second round, so that this daemon stays in contact with them.
    void set_preferred_targets(std::vector<endpoint> members) {
        m_preferred_targets = std::move(members);
    }

    /// @return the members whose record changed since the last call, including this daemon.
    std::vector<member> take_changes();

    /// @return up to @p count distinct live members, chosen at random.
    std::vector<endpoint> random_live(std::size_t count, absl::BitGenRef random) const;

    /// @return the record of @p address, or null if there is none.
    const member* find(const endpoint& address) const;

    /// @return the time since which the member with @p http_address has been dead; infinite future if it is not dead,
    ///         empty if there is no such member.
    std::optional<absl::Time> owner_dead_since(const endpoint& http_address) const;

    const member& self() const {
        return m_self;
    }

    const member_table& table() const {
        return m_table;
    }

    /// @return the number of live members, excluding this daemon.
    std::size_t live_count() const {
        return m_live.size();
    }

    /// @return the length of the pause of this daemon between the last two ticks; zero if there was none.
    absl::Duration last_pause() const {
        return m_last_pause;
    }

private:
    struct probe {
        endpoint target;
        std::uint64_t sequence = 0;
        absl::Time sent;
        bool is_acked = false;
        int retries = 0;
    };

    struct suspicion {
        absl::Time deadline;
        /// Time since which other daemons report the member dead. Its retention is counted from then, so that all
        /// daemons remove it and its upstreams at about the same time.
        absl::Time reported_dead_since = absl::InfiniteFuture();
    };

    struct relayed_probe {
        endpoint origin;
        std::uint64_t origin_sequence = 0;
        endpoint target;
        absl::Time expires;
    };

    enum class event { probe_failed, suspicion_expired, heard_alive, heard_suspected, heard_dead, heard_left };
    static constexpr std::size_t event_count = 6;
    static constexpr std::size_t state_count = 4;

    void read_transitions();
    std::optional<member_state> next_state(member_state state, event trigger) const;
    void detect_pause(absl::Time now);
    void end_round(absl::Time now, std::vector<probe_message>& out);
    void begin_round(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out);
    void prune_indexes();
    void send_indirect_probes(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out);
    void contact_seeds(absl::Time now, absl::BitGenRef random, std::vector<probe_message>& out);
    void expire_suspicions(absl::Time now);
    void expire_relayed_probes(absl::Time now);
    std::optional<endpoint> next_target(absl::BitGenRef random);
    std::optional<endpoint> next_preferred_target();
    std::vector<endpoint> choose_relays(const endpoint& target, absl::BitGenRef random) const;
    void refute(const member& received, absl::Time now);
    void update_member(member changed, absl::Time now, absl::Duration age);
    void update_indexes(const member& changed, absl::Time now);
    void set_live(const endpoint& address, bool is_live);
    absl::Duration suspicion_time() const;

    const peer_settings& m_settings;
    member m_self;
    member_table m_table;
    std::array<std::array<std::optional<member_state>, event_count>, state_count> m_transitions;
    std::map<endpoint, suspicion> m_suspicions;
    std::vector<endpoint> m_live;                    ///< Alive and suspected members, without this daemon.
    std::map<endpoint, std::size_t> m_live_position; ///< Index in m_live.
    std::set<endpoint> m_gone_members;               ///< Members that are dead or have left; probed now and then.
    std::map<endpoint, std::set<endpoint>> m_by_http_address;
    std::vector<endpoint> m_probe_order; ///< Remaining targets of this pass; the last one is probed next.
    std::vector<endpoint> m_preferred_targets;
    std::size_t m_next_preferred_target = 0;
    std::optional<probe> m_probe;
    std::map<std::uint64_t, relayed_probe> m_relayed_probes;
    std::vector<endpoint> m_contacts; ///< Seeds of the settings, followed by added addresses.
    std::vector<member> m_changes;
    std::uint64_t m_next_sequence = 1;
    std::uint64_t m_round = 0;
    std::optional<absl::Time> m_last_tick;
    absl::Time m_next_round = absl::InfinitePast();
    absl::Time m_next_seed_contact = absl::InfinitePast();
    absl::Duration m_seed_backoff;
    absl::Duration m_last_pause = absl::ZeroDuration();
    bool m_is_round_interrupted = false;
};

} // namespace amaranthladder
