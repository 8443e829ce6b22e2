#pragma once

#include "common/event_log.h"
#include "common/steady_clock.h"
#include "daemon/configuration_keeper.h"
#include "daemon/store_link.h"
#include "report/month_record.h"
#include "report/month_table.h"
#include "report/report_recorder.h"
#include "settings/daemon_settings.h"
#include "store/call_counter.h"
#include "store/http_store.h"
#include "store/seat.h"

#include <absl/base/thread_annotations.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace amaranthladder {

/// What the follower asks of the rest of the daemon.
struct store_follower_peers {
    /// @return true if a living daemon other than this one holds the seat.
    std::function<bool(int seat_number)> is_seat_taken;
    /// @return living daemons of the data centre, this one included.
    std::function<int()> candidates;
    /// @return true if this daemon knows a living peer.
    std::function<bool()> has_peers;
    /// Tells the other daemons that this one holds the seat, or has given it up.
    std::function<void(int seat_number, bool is_held)> announce_seat;
    /// @return month records that were not returned before; asked for only while a seat is held.
    std::function<std::vector<month_record>()> new_records;
};

/// Follows the configuration in the store with one thread.
///
/// Only a holder of one of the data centre's seats watches the head; other daemons learn of new versions from their
/// peers and make no store call. A daemon without a configuration and without peers reads the head itself.
class store_follower : public store_link {
public:
    /// @param settings address and timeouts.
    /// @param identity the daemon's mesh, whose month records are written, and its data centre, whose seats are taken.
    /// @param holder unique to this run of the daemon.
    /// @param peers functions of the daemon; called from the follower's thread.
    /// @param keeper takes each version that is read.
    store_follower(const daemon_settings::store_section& settings, const daemon_settings::daemon_section& identity,
                   const std::string& holder, store_follower_peers peers, configuration_keeper& keeper,
                   const steady_clock& clock, event_log& log);
    ~store_follower() override;
    store_follower(const store_follower&) = delete;
    store_follower& operator=(const store_follower&) = delete;

    store_status status() const override;

private:
    void run();
    bool is_stopped() const;
    void update_seats();
    void update_seat(int seat_number);
    /// @return true while a seat is held.
    bool is_holder() const;
    void follow_head();
    void write_records();
    void read_alone();
    void take_head(const versioned_value& head);
    std::uint64_t failed_calls() const;
    void note(store_outcome outcome);
    void wait(absl::Duration delay);

    daemon_settings::store_section m_settings;
    store_follower_peers m_peers;
    configuration_keeper& m_keeper;
    const steady_clock& m_clock;
    event_log& m_log;
    call_counter m_calls;
    http_store m_store;
    month_table<http_store> m_months;
    report_recorder<http_store> m_recorder;
    absl::BitGen m_random;
    std::vector<seat> m_seats;
    std::vector<bool> m_announced;
    revision m_revision = 0;
    absl::Time m_next_read;
    backoff m_read_backoff;
    mutable absl::Mutex m_mutex;
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
    bool m_is_watching ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<absl::Time> m_unreachable_since ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace amaranthladder
