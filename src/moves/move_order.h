#pragma once

#include "common/revision.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// The state of an order as last reported to the operator.
enum class order_report {
    none,
    running,
    completed,
    rolled_back,
};

/// @return the stable name of @p report.
std::string_view name(order_report report);

/// An operator's order to shift a service to a version. It comes from the store, not from the configuration folder. All
/// other versions of the service count as the old version.
struct move_order {
    std::string service;
    std::string to_version;
    revision introduced_in = 0; ///< Store revision of the order when it was first seen; identifies it.
    absl::Time deadline = absl::InfiniteFuture();
    order_report reported = order_report::none;
    /// Store revision of the order in a later era, after the store came back from an older copy; 0: none.
    revision rewritten_in = 0;

    /// @return true once the outcome has been reported to the operator.
    bool is_final() const {
        return reported == order_report::completed || reported == order_report::rolled_back;
    }

    /// @return the latest store revision of the order; an order with a higher one replaces it.
    revision latest_revision() const {
        return rewritten_in == 0 ? introduced_in : rewritten_in;
    }

    /// @return the order as JSON, as read by decode().
    std::string encode() const;

    /// @throws error with result_code::move_record_malformed if @p bytes is not a valid order.
    static move_order decode(std::string_view bytes);

    friend bool operator==(const move_order&, const move_order&) = default;
};

/// Decides whether two orders for one service are the same one. A store that comes back from an older copy may have
/// lost an order, which its operator then writes again: orders to one version whose revisions are of different eras are
/// the same, while those with different revisions in one era are not.
bool is_same_order(const move_order& left, const move_order& right);

/// Merges two orders for one service: the newer order wins; for the same order, the earlier deadline and the later
/// report win. Commutative and idempotent; also associative, except where an operator returns to an earlier version
/// after a restore.
move_order merge(const move_order& left, const move_order& right);

/// Key prefix of orders in the records that daemons exchange.
inline constexpr std::string_view order_key_prefix = "order/";

} // namespace amaranthladder
