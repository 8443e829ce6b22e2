#include "moves/order_table.h"

namespace amaranthladder {

order_table::order_table(absl::Duration margin) : m_margin(margin) {}

std::optional<move_order> order_table::merge(const move_order& order) {
    const auto [found, is_new] = m_orders.try_emplace(order.service, order);
    if (is_new) {
        return order;
    }
    const move_order joined = amaranthladder::merge(found->second, order);
    if (joined == found->second) {
        return std::nullopt;
    }
    found->second = joined;
    return joined;
}

std::map<std::string, move> order_table::moves() const {
    std::map<std::string, move> result;
    for (const auto& [service, order] : m_orders) {
        if (order.is_final()) {
            continue;
        }
        move under_way;
        under_way.name = "order-" + service;
        under_way.service = service;
        under_way.to_version = order.to_version;
        under_way.deadline = order.deadline - m_margin;
        under_way.introduced_in = order.introduced_in;
        result.emplace(under_way.name, std::move(under_way));
    }
    return result;
}

std::map<std::string, std::map<std::string, double>> order_table::final_shares() const {
    std::map<std::string, std::map<std::string, double>> result;
    for (const auto& [service, order] : m_orders) {
        if (order.is_final()) {
            const double share = order.reported == order_report::completed ? 1 : 0;
            result[service] = {{order.to_version, share}, {"", 1 - share}};
        }
    }
    return result;
}

} // namespace amaranthladder
