#pragma once

#include "common/event_log.h"
#include "common/revision.h"
#include "daemon/evacuation_record.h"
#include "daemon/evacuation_table.h"
#include "peers/opaque_record.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Functions of the daemon that an evacuation_service calls.
struct evacuation_callbacks {
    /// Sends a record to the other daemons.
    std::function<void(const opaque_record&)> send;
    /// Makes the data path use no upstream of these data centres. Must not call the service.
    std::function<void(const std::set<std::string>&)> apply;
    /// @return number of known hosts of a data centre, for the log.
    std::function<std::size_t(const std::string&)> host_count;
};

/// Thread-safe state of the orders to evacuate data centres. The store client's threads add and end orders, and peer
/// threads merge those of other daemons; each change is passed to the data path and, if it comes from the store, to the
/// other daemons.
class evacuation_service {
public:
    /// @param log must outlive the service.
    evacuation_service(evacuation_callbacks callbacks, event_log& log);

    /// Applies a state of an order's key that was read from the store.
    void accept(const std::string& data_center, const evacuation_record& read);

    /// Ends the orders whose keys are missing from a list of the store's keys; see evacuation_table::end_missing.
    void accept_list(const std::set<std::string>& listed, revision as_of);

    /// Merges a record of another daemon.
    /// @throws error with result_code::message_malformed if it cannot be read.
    void merge_remote(const opaque_record& record);

    /// @return the evacuated data centres.
    std::set<std::string> evacuated() const;

private:
    void handle_change(const std::string& data_center, std::string_view source) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    opaque_record encoded(const std::string& data_center) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    evacuation_callbacks m_callbacks;
    event_log& m_log;
    mutable absl::Mutex m_mutex;
    evacuation_table m_table ABSL_GUARDED_BY(m_mutex);
    std::set<std::string> m_applied ABSL_GUARDED_BY(m_mutex); ///< What the data path was told last.
};

} // namespace amaranthladder
