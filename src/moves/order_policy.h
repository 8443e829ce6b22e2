#pragma once

#include "moves/move_order.h"

#include <absl/time/time.h>

namespace amaranthladder {

/// Parameters for reporting the outcome of orders.
struct order_policy {
    /// A daemon waits this long for each live daemon that ranks before it, so that usually only one daemon writes the
    /// report to the store.
    absl::Duration report_stagger = absl::Milliseconds(400);
    /// The new version must have had the full share for this long, because other daemons learn of it within two gossip
    /// rounds.
    absl::Duration min_full_share_time = absl::Milliseconds(300);
    /// This long before the deadline the order is reported as completed even if an old upstream is not known to be
    /// idle.
    absl::Duration deadline_margin = absl::Milliseconds(500);
};

/// What a daemon knows about an order that is not final.
struct order_state {
    bool is_rolled_back = false;                          ///< The move was rolled back.
    absl::Time full_share_since = absl::InfiniteFuture(); ///< Time since which the new version has the full share.
    bool is_old_version_idle = false;                     ///< No old upstream runs, queues or accepts requests.
    int report_rank = 0;                                  ///< Number of live daemons that report before this one.
    absl::Time outcome_since = absl::InfiniteFuture();    ///< Time since which outcome_of() is unchanged.
};

/// @return the state to report to the operator, whichever daemon reports it; at least order_report::running.
order_report outcome_of(const move_order& order, const order_state& state, absl::Time now,
                        const order_policy& policy = {});

/// @return true if this daemon should report @p outcome now.
bool is_report_due(const move_order& order, order_report outcome, const order_state& state, absl::Time now,
                   const order_policy& policy = {});

} // namespace amaranthladder
