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

/// Guards the orders of the operators: the store's threads bring and report them, peers exchange them, the control
/// loop follows their moves. Keeps which old upstreams are idle, so that an order is reported as completed only when
/// nothing runs on the old version any more.
class order_service {
public:
    /// @param margin see order_table.
    explicit order_service(absl::Duration margin);

    /// Merges an order.
    /// @return the order as it is held now if that changed.
    std::optional<move_order> merge(const move_order& order);

    /// @return true if no order has been given.
    bool is_empty() const;

    /// @return true if the outcome of an order has not been reported yet.
    bool has_pending_order() const;

    std::map<std::string, move> moves() const;
    std::map<std::string, std::map<std::string, double>> final_shares() const;

    /// Notes that an old upstream is idle and takes no requests.
    /// @return true if that was not known.
    bool mark_idle(const std::string& service, std::uint64_t order, const std::string& upstream_id);

    /// Takes how the moves stand and which upstreams there are.
    /// @param statuses the moves of the engine.
    /// @param upstreams usable upstreams of all services.
    /// @param turn living daemons that report before this one.
    void update_progress(const std::vector<move_status>& statuses, const std::vector<upstream_record>& upstreams,
                         int rank, absl::Time now);

    /// @return the order that makes @p version of @p service superseded: the new version has the whole share.
    std::optional<move_order> superseding_order(const std::string& service, const std::string& version) const;

    /// @return reports that are due from this daemon, as the orders would then be held.
    std::vector<move_order> due_reports(absl::Time now) const;

private:
    struct progress {
        order_state facts;
        order_report outcome = order_report::none;
    };
    using order_key = std::pair<std::string, std::uint64_t>;

    bool are_old_upstreams_idle(const move_order& order, const std::vector<upstream_record>& upstreams) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    order_table m_board ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, progress> m_progress ABSL_GUARDED_BY(m_mutex); ///< By service.
    std::map<order_key, std::set<std::string>>
        m_idle_upstreams ABSL_GUARDED_BY(m_mutex); ///< Upstream ids by service and order.
};

} // namespace amaranthladder
