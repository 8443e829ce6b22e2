#pragma once

#include "common/event_log.h"
#include "common/steady_clock.h"
#include "common/stop_signal.h"
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

/// Functions of the daemon that store_follower calls, from its own thread.
struct store_follower_callbacks {
    /// @return true if another daemon that is alive or suspected holds the watcher lease.
    std::function<bool(int lease_number)> is_watcher_lease_taken;
    /// @return number of alive daemons in the data centre, including this one.
    std::function<int()> candidate_count;
    /// @return true if this daemon knows an alive peer.
    std::function<bool()> has_peers;
    /// Announces to the other daemons that this one has acquired or lost the watcher lease.
    std::function<void(int lease_number, bool is_held)> announce_watcher_lease;
    /// @return new month records. Called only while a watcher lease is held.
    std::function<std::vector<month_record>()> new_month_records;
};

/// Client of the project's own store: follows the head of the configuration and writes month records, on one thread.
///
/// Only holders of one of the data centre's watcher leases watch the head; other daemons get new versions from their
/// peers without a store call. A daemon that has neither a configuration nor peers reads the head itself.
class store_follower : public store_client {
public:
    /// @param settings address and timeouts of the store.
    /// @param identity gives the mesh whose month records are written, and the data centre whose watcher leases are
    /// acquired.
    /// @param holder id that is unique to this run of the daemon; it holds the watcher leases.
    /// @param callbacks functions of the daemon.
    /// @param configuration applies each version that is read.
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
    /// @return true if this daemon holds at least one watcher lease.
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
    stop_signal m_stop;
    bool m_is_watching ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<absl::Time> m_unreachable_since ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace amaranthladder
