#pragma once

#include "peers/peer_node.h"
#include "peers/peer_settings.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace amaranthladder::fakes {

/// Faults that the network applies to datagrams.
struct network_faults {
    double loss = 0;
    double duplication = 0;
    double misdelivery = 0; ///< Fraction of datagrams that are delivered to a random daemon.
    absl::Duration shortest_delay = absl::Milliseconds(1);
    /// Datagrams are reordered if the delays differ by more than the sending interval.
    absl::Duration longest_delay = absl::Milliseconds(4);
};

/// Discrete-event simulation of a network of peer_nodes in virtual time. Repairs and pulls take round trips and fail if
/// the peer is down, frozen or partitioned when they arrive. Each event checks that no daemon returns to an older
/// configuration or upstream record.
class peer_network {
public:
    /// @param count number of daemons, with indexes from 0; the first two are the seeds.
    /// @param settings common settings of all daemons.
    /// @param seed seed of the random number generator.
    peer_network(std::size_t count, const peer_settings& settings, std::uint64_t seed);

    network_faults faults;

    /// Mutation: a resumed daemon runs the ticks that it missed, as some timers do, and so takes its own pause for
    /// failures of others.
    bool replays_missed_ticks = false;

    /// Mutation: daemons apply any pulled version, even an older one.
    bool applies_any_pulled_version = false;

    void start(std::size_t node);
    void kill(std::size_t node);
    void freeze(std::size_t node);
    void resume(std::size_t node);
    void leave(std::size_t node);

    /// Starts a partition between daemons with even and odd indexes.
    void partition();
    void heal();

    /// Publishes a new version at @p node.
    void publish(std::size_t node);

    void announce(std::size_t node, const std::string& version);
    void withdraw(std::size_t node);
    void set_leaving(std::size_t node);
    void put_opaque(std::size_t node);

    /// Keys of records that are urgent.
    static constexpr const char* urgent_key_prefix = "urgent/";

    /// Puts @p record at @p node.
    void put_record(std::size_t node, const opaque_record& record);

    /// @return the fraction of the running daemons that hold a record with that key.
    double fraction_holding(const std::string& key) const;

    void run_for(absl::Duration duration);

    absl::Time now() const {
        return m_now;
    }
    std::uint64_t events() const {
        return m_events;
    }
    std::uint64_t deaths_declared_by(std::size_t node) const {
        return m_daemons[node].deaths;
    }
    std::uint64_t deaths_declared() const {
        std::uint64_t sum = 0;
        for (const daemon& each : m_daemons) {
            sum += each.deaths;
        }
        return sum;
    }
    std::uint64_t newest_version() const {
        return m_newest_version;
    }

    /// @return violated invariants found so far: versions or records that were reverted, pulls of versions that are not
    ///         newer, and datagrams that are too large.
    const std::vector<std::string>& violations() const {
        return m_violations;
    }

    /// @return the first difference between the running daemons or from the expected state; empty if there is none.
    std::string disagreement() const;

    /// @return the fraction of the running daemons that list the upstream of @p node as usable.
    double fraction_using(std::size_t node) const;

    /// @return for each running daemon, the virtual time from the last publication until it had that version; infinite
    ///         if it does not have it.
    std::vector<absl::Duration> propagation_delays() const;

    bool is_running(std::size_t node) const {
        return m_daemons[node].node != nullptr && !m_daemons[node].is_frozen;
    }
    peer_node& node(std::size_t node) {
        return *m_daemons[node].node;
    }
    std::size_t size() const {
        return m_daemons.size();
    }
    std::mt19937_64& random() {
        return m_random;
    }

private:
    struct daemon {
        std::unique_ptr<peer_node> node;
        std::uint64_t run = 0; ///< Counts starts, so that events of an earlier run are ignored.
        bool is_frozen = false;
        std::deque<std::string> socket_buffer;
        std::uint64_t version = 0;
        absl::Time version_changed_at;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> highest;
        std::optional<std::string> upstream_version;
        bool is_leaving = false;
        std::uint64_t deaths = 0;
        absl::Time last_tick;
    };

    struct scheduled {
        absl::Time time;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const scheduled& other) const {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };

    void schedule(absl::Duration delay, std::function<void()> action);
    void schedule_tick(std::size_t node);
    void process_output(std::size_t node, const node_output& output);
    void deliver(const outgoing_datagram& datagram, std::size_t from);
    void arrive(std::size_t node, const std::string& bytes);
    void pull(std::size_t node, const pull_task& task);
    void repair(std::size_t node, const repair_task& task);
    void set_version(std::size_t node, std::uint64_t version);
    void check_records(std::size_t node, const std::vector<upstream_record>& changed);
    bool is_connected(std::size_t left, std::size_t right) const;
    bool can_answer(std::size_t peer, std::size_t from) const;
    absl::Duration delay();
    peer_settings settings_of(std::size_t node) const;
    static std::size_t index_of(const endpoint& address);
    static endpoint address_of(std::size_t node);

    peer_settings m_settings;
    std::mt19937_64 m_random;
    absl::Time m_now = absl::FromUnixSeconds(1'700'000'000);
    std::vector<daemon> m_daemons;
    std::priority_queue<scheduled> m_queue;
    std::uint64_t m_next_number = 0;
    std::uint64_t m_events = 0;
    std::uint64_t m_newest_version = 0;
    std::uint64_t m_opaque_value = 0;
    absl::Time m_published_at;
    bool m_is_partitioned = false;
    std::vector<std::string> m_violations;
};

} // namespace amaranthladder::fakes
