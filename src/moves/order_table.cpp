#include "moves/order_table.h"

#include "moves/move_record.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Replaced orders of a service that are remembered. Copies of a store are seconds old, in which few orders are given.
constexpr std::size_t max_replaced_orders = 16;

} // namespace

order_table::order_table(absl::Duration margin) : m_margin(margin) {}

std::optional<move_order> order_table::merge(const move_order& order) {
    const auto [found, is_new] = m_orders.try_emplace(order.service, order);
    if (is_new) {
        return order;
    }
    const bool is_other = !is_same_order(found->second, order);
    if (is_other && is_copy_of_replaced(order)) {
        return std::nullopt;
    }
    const move_order joined = amaranthladder::merge(found->second, order);
    if (joined == found->second) {
        return std::nullopt;
    }
    if (is_other) {
        std::deque<move_order>& replaced = m_replaced[order.service];
        replaced.push_back(found->second);
        if (replaced.size() > max_replaced_orders) {
            replaced.pop_front();
        }
    }
    found->second = joined;
    return joined;
}

bool order_table::is_copy_of_replaced(const move_order& order) const {
    const auto known = m_replaced.find(order.service);
    return known != m_replaced.end() && std::ranges::any_of(known->second, [&](const move_order& replaced) {
               return replaced.to_version == order.to_version &&
                      era_of(replaced.introduced_in) != era_of(order.introduced_in) &&
                      number_of(replaced.introduced_in) == number_of(order.introduced_in);
           });
}

std::map<std::string, move> order_table::moves() const {
    std::map<std::string, move> result;
    for (const auto& [service, order] : m_orders) {
        if (order.is_final()) {
            continue;
        }
        move under_way;
        under_way.name = std::string(move_record::order_move_prefix) + service;
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
