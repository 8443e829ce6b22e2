#pragma once

#include "common/event_log.h"
#include "common/steady_clock.h"
#include "daemon/configuration_keeper.h"
#include "settings/daemon_settings.h"
#include "store/call_counter.h"
#include "store/http_store.h"

#include <absl/base/thread_annotations.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <optional>
#include <thread>

namespace amaranthladder {

/// What a daemon knows of the store's availability.
struct store_status {
    std::optional<absl::Time> unreachable_since; ///< Empty while the store answers.
    std::uint64_t calls = 0;
    bool is_watching = false;
};

/// Follows the configuration in the store with one thread: reads the head, then watches it.
class store_follower {
public:
    /// @param settings address and timeouts.
    /// @param keeper takes each version that is read.
    store_follower(const daemon_settings::store_section& settings, configuration_keeper& keeper,
                   const steady_clock& clock, event_log& log);
    ~store_follower();
    store_follower(const store_follower&) = delete;
    store_follower& operator=(const store_follower&) = delete;

    store_status status() const;

private:
    void run();
    /// @return true if the store answered.
    bool follow_once();
    bool take_head(const std::string& text);
    void note_answer(bool is_answered);
    void wait(absl::Duration delay);

    daemon_settings::store_section m_settings;
    configuration_keeper& m_keeper;
    const steady_clock& m_clock;
    event_log& m_log;
    call_counter m_calls;
    http_store m_store;
    absl::BitGen m_random;
    revision m_revision = 0;
    mutable absl::Mutex m_mutex;
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<absl::Time> m_unreachable_since ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace amaranthladder
