#pragma once

#include "common/state_chart.h"
#include "daemon/upstream_announcement.h"
#include "peers/upstream_record.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace amaranthladder {

/// The upstreams beside this daemon, as they announce themselves. Pure: time is an argument.
///
/// charts/upstream.ini gives the states. An upstream that is silent for the timeout is gone.
class announced_upstreams {
public:
    /// An upstream beside this daemon.
    struct upstream {
        upstream_announcement announcement;
        std::string state; ///< State of charts/upstream.ini.
        absl::Time last_heard;
    };

    /// @param data_center written into the records.
    /// @param timeout silence after which an upstream is gone.
    announced_upstreams(std::string data_center, absl::Duration timeout);

    /// What an announcement changed.
    struct change {
        bool is_record_changed = false;        ///< The record that other daemons need has changed.
        std::vector<std::string> replaced_ids; ///< Ids of upstreams that had the address before; they are forgotten.
    };

    /// Takes an announcement. One that is older than what is known, by the upstream's start and its sequence, changes
    /// nothing: it was delayed on its way.
    /// @throws error with result_code::announcement_conflict if another upstream holds the same address and neither
    ///         started later.
    change announce(const upstream_announcement& announcement, absl::Time now);

    /// Forgets an upstream that says it has ended. Its announcements that are still on their way are ignored.
    /// @return true if it was known.
    bool withdraw(const std::string& id, absl::Time now);

    /// @return ids of upstreams that were silent for too long; they are forgotten.
    std::vector<std::string> expire(absl::Time now);

    /// From now on every record says that the upstream is leaving, whatever it announces: the daemon shuts down.
    void set_all_leaving();

    /// @return the record of an upstream, without owner, incarnation and sequence.
    /// @throws std::out_of_range for an unknown id.
    upstream_record record(const std::string& id) const;

    const std::map<std::string, upstream>& upstreams() const {
        return m_upstreams;
    }

private:
    /// Which announcement of an upstream an other one follows.
    struct ordering_key {
        absl::Time started_at;
        std::uint64_t sequence = 0;

        bool operator<(const ordering_key& other) const {
            return started_at != other.started_at ? started_at < other.started_at : sequence < other.sequence;
        }
    };

    static ordering_key ordering_key_of(const upstream_announcement& announcement);
    bool is_outdated(const upstream_announcement& announcement) const;
    std::vector<std::string> release_address(const upstream_announcement& announcement, absl::Time now);
    void remove(const std::string& id, absl::Time now);
    void apply_event(upstream& changed, const std::string& event) const;

    state_chart m_chart;
    std::string m_data_center;
    absl::Duration m_timeout;
    bool m_are_all_leaving = false;
    std::map<std::string, upstream> m_upstreams;
    struct ended_upstream {
        ordering_key last;
        absl::Time ended_at;
    };
    std::map<std::string, ended_upstream> m_ended; ///< Upstreams that ended or were replaced.
};

} // namespace amaranthladder
