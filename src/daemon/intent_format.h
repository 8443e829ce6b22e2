#pragma once

#include "config/snapshot.h"
#include "moves/move_order.h"
#include "store/prefix_store.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace amaranthladder {

/// An operator's order as it stands in the store: the time allowed runs from its acknowledgement.
struct order_request {
    std::string service;
    std::string to_version;
    std::uint64_t introduced_in = 0; ///< The store's revision of the order.
    absl::Duration time_limit;
};

/// What one key of the operators means.
using intent_item = std::variant<std::monostate, std::shared_ptr<const snapshot>, order_request>;

/// How a platform's operators write their intent into the store and read the outcome of orders.
struct intent_format {
    std::string prefix; ///< What the operators' keys begin with.

    /// @return what an item means; std::monostate for a key that concerns nobody here.
    /// @throws error if the value cannot be read; what holds stays in force.
    std::function<intent_item(const stored_item&)> decode;

    /// @return the key of the report on a service's order.
    std::function<std::string(const std::string& service)> report_key;

    /// @return the value of the report.
    std::function<std::string(const move_order&)> encode_report;

    /// @return what a stored report says of orders to @p to_version, or none.
    std::function<order_report(const stored_item&, const std::string& to_version)> decode_report;
};

} // namespace amaranthladder
