#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// What the operator has been told about an order.
enum class order_report {
    none,
    running,
    completed,
    rolled_back,
};

/// @return the stable name of @p report.
std::string_view name(order_report report);

/// An operator's order to shift a service to a version, given through the store and not through the folder. The version
/// that served before is whatever other version there is.
struct move_order {
    std::string service;
    std::string to_version;
    std::uint64_t introduced_in = 0; ///< The store's revision of the order; a higher one replaces a lower one.
    absl::Time deadline = absl::InfiniteFuture();
    order_report reported = order_report::none;

    /// @return true once the operator has been told the outcome.
    bool is_final() const {
        return reported == order_report::completed || reported == order_report::rolled_back;
    }

    /// @return the order in the form that decode() reads.
    std::string encode() const;

    /// @throws error with result_code::move_record_malformed.
    static move_order decode(std::string_view bytes);

    friend bool operator==(const move_order&, const move_order&) = default;
};

/// Joins two records of orders for one service: the newer order wins; of one order the earlier deadline and the later
/// report. Commutative, associative and idempotent.
move_order merge(const move_order& left, const move_order& right);

/// Key prefix of orders among the records that daemons exchange.
inline constexpr std::string_view order_key_prefix = "order/";

} // namespace amaranthladder
