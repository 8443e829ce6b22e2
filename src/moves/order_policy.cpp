#include "moves/order_policy.h"

namespace amaranthladder {

order_report outcome_of(const move_order& order, const order_state& state, absl::Time now, const order_policy& policy) {
    if (state.is_rolled_back) {
        return order_report::rolled_back;
    }
    const bool has_full_share = now - state.full_share_since >= policy.min_full_share_time;
    const bool is_deadline_near = now >= order.deadline - policy.deadline_margin;
    return has_full_share && (state.is_old_version_idle || is_deadline_near) ? order_report::completed
                                                                             : order_report::running;
}

bool is_report_due(const move_order& order, order_report outcome, const order_state& state, absl::Time now,
                   const order_policy& policy) {
    return outcome > order.reported && now >= state.outcome_since + state.report_rank * policy.report_stagger;
}

} // namespace amaranthladder
