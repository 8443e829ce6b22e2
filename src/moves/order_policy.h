#pragma once

#include "moves/move_order.h"

#include <absl/time/time.h>

namespace amaranthladder {

/// Constants of the policy for orders.
struct order_policy {
    /// Daemons report one after the other, so that usually one of them makes the store call: a daemon waits this long
    /// for each living daemon that comes before it.
    absl::Duration report_stagger = absl::Milliseconds(400);
    /// The whole share must have lasted this long: daemons hear of it within two gossip rounds.
    absl::Duration min_full_share_time = absl::Milliseconds(300);
    /// This long before the deadline the report is made although an old upstream has not said that it is idle.
    absl::Duration deadline_margin = absl::Milliseconds(500);
};

/// What a daemon knows of an order under way.
struct order_state {
    bool is_rolled_back = false;                          ///< The new version was judged bad.
    absl::Time full_share_since = absl::InfiniteFuture(); ///< Since when the new version has the whole share.
    bool is_old_version_idle = false;                     ///< No old upstream runs, queues or takes a request.
    int report_rank = 0;                                  ///< Living daemons that come before this one.
    absl::Time outcome_since = absl::InfiniteFuture();    ///< Since when outcome_of() has had its present value.
};

/// @return what the operator is to be told now, whichever daemon tells it; at least order_report::running.
order_report outcome_of(const move_order& order, const order_state& state, absl::Time now,
                        const order_policy& policy = {});

/// @return true if it is this daemon's turn to report @p outcome.
bool is_report_due(const move_order& order, order_report outcome, const order_state& state, absl::Time now,
                   const order_policy& policy = {});

} // namespace amaranthladder
