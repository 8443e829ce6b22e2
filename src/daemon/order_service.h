#pragma once

#include "moves/move_status.h"
#include "moves/order_policy.h"
#include "moves/order_table.h"
#include "peers/upstream_record.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// Thread-safe state of the operators' orders. The store client's threads add and report orders, peer threads merge
/// them, and the control loop updates their progress. Also tracks which upstreams of the old version are idle, because
/// an order is reported as completed only when no request runs on the old version.
class order_service {
public:
    /// @param margin passed to order_table.
    explicit order_service(absl::Duration margin);

    /// Merges an order of the store or of a peer.
    /// @return the merged order if the merge changed it.
    std::optional<move_order> merge(const move_order& order);

    /// @return the order held for a service, if there is one.
    std::optional<move_order> find(const std::string& service) const;

    /// @return true if no order is known.
    bool is_empty() const;

    /// @return true if there is an order whose final outcome has not been reported yet.
    bool has_pending_order() const;

    /// @return the moves of all orders that are not final, by name.
    std::map<std::string, move> moves() const;

    /// @return the shares of services whose order is final; the empty version stands for all other versions.
    std::map<std::string, std::map<std::string, double>> final_shares() const;

    /// Records that an upstream of the old version is idle and takes no more requests.
    /// @param order revision that introduced the order.
    /// @return true if this was not known.
    bool mark_idle(const std::string& service, std::uint64_t order, const std::string& upstream_id);

    /// Updates the progress and the outcome of pending orders.
    /// @param statuses moves of the move engine.
    /// @param upstreams usable upstreams of all services.
    /// @param rank number of alive daemons that report before this one.
    void update_progress(const std::vector<move_status>& statuses, const std::vector<upstream_record>& upstreams,
                         int rank, absl::Time now);

    /// @return the order that has superseded @p version of @p service by moving the full share to another version;
    /// empty if there is none.
    std::optional<move_order> superseding_order(const std::string& service, const std::string& version) const;

    /// Called when the store has come back from an older copy: makes the reports on all orders due again, at this
    /// daemon only if few others rank before it.
    /// @param rank number of alive daemons that report before this one.
    void on_reports_lost(int rank, absl::Time now);

    /// Called when the store holds the report on an order in the state that the order has.
    void on_report_written(const move_order& order);

    /// @return orders that this daemon must report now, with the state to be reported.
    std::vector<move_order> due_reports(absl::Time now) const;

private:
    struct progress {
        order_state state;
        order_report outcome = order_report::none;
    };
    using order_key = std::pair<std::string, std::uint64_t>;

    bool are_old_upstreams_idle(const move_order& order, const std::vector<upstream_record>& upstreams) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    order_table m_order_table ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, progress> m_progress ABSL_GUARDED_BY(m_mutex); ///< Of pending orders, by service.
    /// When this daemon checks reports that the store may have lost, by service.
    std::map<std::string, absl::Time> m_lost_reports ABSL_GUARDED_BY(m_mutex);
    std::map<order_key, std::set<std::string>> m_idle_upstreams ABSL_GUARDED_BY(m_mutex); ///< Upstream ids by order.
};

} // namespace amaranthladder
