#pragma once

#include "common/event_log.h"
#include "common/steady_clock.h"
#include "daemon/active_configuration.h"
#include "daemon/store_client.h"
#include "report/month_record.h"
#include "report/month_table.h"
#include "report/report_recorder.h"
#include "settings/daemon_settings.h"
#include "store/call_counter.h"
#include "store/http_store.h"
#include "store/watcher_lease.h"

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
struct store_follower_callbacks {
    /// @return true if a living daemon other than this one holds the watcher lease.
    std::function<bool(int lease_number)> is_watcher_lease_taken;
    /// @return living daemons of the data centre, this one included.
    std::function<int()> candidate_count;
    /// @return true if this daemon knows a living peer.
    std::function<bool()> has_peers;
    /// Tells the other daemons that this one holds the watcher lease, or has given it up.
    std::function<void(int lease_number, bool is_held)> announce_watcher_lease;
    /// @return month records that were not returned before; asked for only while a watcher lease is held.
    std::function<std::vector<month_record>()> new_month_records;
};

/// Follows the configuration in the store with one thread.
///
/// Only a holder of one of the data centre's watcher leases watches the head; other daemons learn of new versions from
/// their peers and make no store call. A daemon without a configuration and without peers reads the head itself.
class store_follower : public store_client {
public:
    /// @param settings address and timeouts.
    /// @param identity the daemon's mesh, whose month records are written, and its data centre, whose watcher leases
    /// are taken.
    /// @param holder unique to this run of the daemon.
    /// @param peers functions of the daemon; called from the follower's thread.
    /// @param configuration takes each version that is read.
    store_follower(const daemon_settings::store_section& settings, const daemon_settings::daemon_section& identity,
                   const std::string& holder, store_follower_callbacks callbacks, active_configuration& configuration,
                   const steady_clock& clock, event_log& log);
    ~store_follower() override;
    store_follower(const store_follower&) = delete;
    store_follower& operator=(const store_follower&) = delete;

    store_status status() const override;

private:
    void run();
    bool is_stopped() const;
    void update_watcher_leases();
    void update_watcher_lease(int lease_number);
    /// @return true while a watcher lease is held.
    bool is_lease_holder() const;
    void watch_head();
    void write_month_records();
    void read_without_peers();
    void apply_head(const versioned_value& stored_head);
    std::uint64_t failed_lease_calls() const;
    void update_reachability(store_outcome outcome);
    void wait(absl::Duration delay);

    daemon_settings::store_section m_settings;
    store_follower_callbacks m_callbacks;
    active_configuration& m_configuration;
    const steady_clock& m_clock;
    event_log& m_log;
    call_counter m_call_counter;
    http_store m_store;
    month_table<http_store> m_month_table;
    report_recorder<http_store> m_report_recorder;
    absl::BitGen m_random;
    std::vector<watcher_lease> m_watcher_leases;
    std::vector<bool> m_announced_leases;
    revision m_head_revision = 0;
    absl::Time m_next_read;
    backoff m_read_backoff;
    mutable absl::Mutex m_mutex;
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
    bool m_is_watching ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<absl::Time> m_unreachable_since ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace amaranthladder
