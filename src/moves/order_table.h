#pragma once

#include "config/intended_state.h"
#include "moves/move_order.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// The orders that a daemon knows, one per service. Pure.
class order_table {
public:
    /// @param margin the move is to be complete this long before the order's deadline: the old version's last requests
    ///        end in this time and the outcome is reported.
    explicit order_table(absl::Duration margin);

    /// Merges an order.
    /// @return the order as it is held now if that changed, or nothing.
    std::optional<move_order> merge(const move_order& order);

    /// @return the moves that are under way, by name, for the move engine.
    std::map<std::string, move> moves() const;

    /// @return the shares of services whose order has ended; the empty version stands for all others.
    std::map<std::string, std::map<std::string, double>> final_shares() const;

    const std::map<std::string, move_order>& orders() const {
        return m_orders;
    }

private:
    absl::Duration m_margin;
    std::map<std::string, move_order> m_orders; ///< By service.
};

} // namespace amaranthladder
