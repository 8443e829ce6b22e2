#pragma once

#include "common/revision.h"
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

/// An operator's order as written in the store.
struct order_request {
    std::string service;
    std::string to_version;
    std::uint64_t introduced_in = 0; ///< Store revision of the order's key.
    absl::Duration time_limit;       ///< From the acknowledgement of the write.
};

/// An operator's order to evacuate a data centre as written in the store. It holds until its key is removed.
struct evacuation_request {
    std::string data_center;
    revision introduced_in = 0; ///< Store revision of the order's key.
};

/// Decoded value of an operator's key; std::monostate for keys of no interest to the daemon.
using intent_item = std::variant<std::monostate, std::shared_ptr<const snapshot>, order_request, evacuation_request>;

/// Encoding of the operators' intent (configuration and orders) and of the order reports in a platform's store.
struct intent_format {
    std::string prefix; ///< Common prefix of the operators' keys.

    /// @return the decoded item.
    /// @throws error if the value is malformed; the previous intent then stays active.
    std::function<intent_item(const stored_item&)> decode;

    /// @return the data centre that is evacuated while @p key exists; empty for other keys.
    std::function<std::optional<std::string>(const std::string& key)> evacuated_data_center;

    /// @return the key of the report on the order for @p service.
    std::function<std::string(const std::string& service)> report_key;

    /// @return the value of the report on an order.
    std::function<std::string(const move_order&)> encode_report;

    /// @return the state in a stored report if it is about an order to @p to_version, else order_report::none.
    std::function<order_report(const stored_item&, const std::string& to_version)> decode_report;
};

} // namespace amaranthladder
