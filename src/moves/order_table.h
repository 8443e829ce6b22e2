#pragma once

#include "config/intended_state.h"
#include "moves/move_order.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Holds the orders that a daemon knows, one per service, and derives moves and shares from them.
class order_table {
public:
    /// @param margin the move must be complete this long before the order's deadline, which leaves time for the old
    ///        version's last requests to end and for reporting the outcome.
    explicit order_table(absl::Duration margin);

    /// Merges an order. One that was replaced before and is still held by an older copy of the store is ignored.
    /// @return the merged order if it differs from the one held before.
    std::optional<move_order> merge(const move_order& order);

    /// @return the moves of all orders that are not final, by name, for the move engine.
    std::map<std::string, move> moves() const;

    /// @return the shares of services whose order is final; the empty version stands for all other versions.
    std::map<std::string, std::map<std::string, double>> final_shares() const;

    const std::map<std::string, move_order>& orders() const {
        return m_orders;
    }

private:
    bool is_copy_of_replaced(const move_order& order) const;

    absl::Duration m_margin;
    std::map<std::string, move_order> m_orders;               ///< By service.
    std::map<std::string, std::deque<move_order>> m_replaced; ///< The last ones, by service.
};

} // namespace amaranthladder
