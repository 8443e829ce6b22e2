#include "moves/order_policy.h"

namespace amaranthladder {

order_report outcome_of(const move_order& order, const order_facts& facts, absl::Time now, const order_policy& policy) {
    if (facts.is_rolled_back) {
        return order_report::rolled_back;
    }
    const bool is_whole = now - facts.whole_since >= policy.least_whole_time;
    const bool is_last_moment = now >= order.deadline - policy.last_moment;
    return is_whole && (facts.are_old_idle || is_last_moment) ? order_report::completed : order_report::running;
}

bool is_report_due(const move_order& order, order_report outcome, const order_facts& facts, absl::Time now,
                   const order_policy& policy) {
    return outcome > order.reported && now >= facts.outcome_since + facts.turn * policy.turn;
}

} // namespace amaranthladder
