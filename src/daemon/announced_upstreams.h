#pragma once

#include "common/state_chart.h"
#include "daemon/upstream_announcement.h"
#include "daemon/upstream_departure.h"
#include "peers/upstream_record.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Tracks the upstreams beside this daemon by their announcements. Does no I/O; the time is an argument.
///
/// The states and transitions are defined in charts/upstream.ini. An upstream is removed when no announcement arrives
/// within the timeout.
class announced_upstreams {
public:
    /// What is known of one upstream.
    struct upstream {
        upstream_announcement announcement;
        std::string state; ///< State in charts/upstream.ini.
        absl::Time last_heard;
        bool has_said_leaving = false; ///< It said so in a response, whatever it announces.
    };

    /// @param data_center data centre of this daemon, written into the upstream records.
    /// @param timeout time without an announcement after which an upstream is removed.
    announced_upstreams(std::string data_center, absl::Duration timeout);

    /// Effect of an announcement.
    struct change {
        bool is_ignored = false;               ///< It was sent before something that is known already.
        bool is_repeated = false;              ///< It is another copy of the last known one.
        bool is_record_changed = false;        ///< The upstream's record must be sent to the other daemons again.
        std::vector<std::string> replaced_ids; ///< Ids of removed upstreams that had the same address.
    };

    /// Processes an announcement. One that is older than the last known one, by start time and sequence number, was
    /// delayed in transit and is ignored.
    /// @throws error with result_code::announcement_conflict if another upstream has the same address and neither
    ///         started later, with result_code::announcement_malformed if it states a start in the future.
    change announce(const upstream_announcement& announcement, absl::Time now);

    /// Removes an upstream that has reported its end. Its announcements that are still in transit are ignored.
    /// @return true if the upstream was known.
    bool withdraw(const std::string& id, absl::Time now);

    /// Forgets an upstream whose id belongs to another daemon. It may announce itself again.
    void forget(const std::string& id);

    /// Records that an upstream has said in a response that it leaves. Its announcements do not revoke that, since they
    /// may have been sent before; only a new start does.
    /// @return true if its record has changed.
    bool set_said_leaving(const std::string& id, absl::Time now);

    /// Effect of a departure that another daemon has told.
    enum class departure_effect {
        none,
        record_changed, ///< The upstream's record must be sent to the other daemons again.
        removed,        ///< The upstream is gone.
    };

    /// Records a departure that another daemon has told, such as one that this daemon heard before a restart.
    departure_effect hear_departure(const std::string& id, const upstream_departure& heard, absl::Time now);

    /// @return what is known of the leaving of the upstream with that id, beside whichever daemon; empty if nothing is.
    std::optional<upstream_departure> departure(const std::string& id) const;

    /// @return true if the upstream has left for good since the start that @p record describes.
    bool has_departed(const upstream_record& record) const;

    /// Removes upstreams whose last announcement is older than the timeout.
    /// @return their ids.
    std::vector<std::string> expire(absl::Time now);

    /// Marks all upstreams, also future ones, as leaving, whatever they announce. Called when the daemon shuts down.
    void set_all_leaving();

    /// @return the record of an upstream; owner, incarnation and sequence are left unset.
    /// @throws std::out_of_range for an unknown id.
    upstream_record record(const std::string& id) const;

    const std::map<std::string, upstream>& upstreams() const {
        return m_upstreams;
    }

    /// @return the ids of upstreams().
    std::vector<std::string> ids() const;

private:
    /// Orders announcements: first by the start of the upstream, then by sequence number.
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
    /// Keeps @p heard if it is later than what is known.
    /// @return true if it is.
    bool record_departure(const std::string& id, const upstream_departure& heard, absl::Time now);
    void apply_event(upstream& changed, const std::string& event) const;

    state_chart m_chart;
    std::string m_data_center;
    absl::Duration m_timeout;
    bool m_are_all_leaving = false;
    std::map<std::string, upstream> m_upstreams;
    std::map<std::string, upstream_departure> m_departures; ///< By upstream id, also of upstreams beside other daemons.
};

} // namespace amaranthladder
