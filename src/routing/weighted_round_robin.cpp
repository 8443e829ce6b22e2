#include "routing/weighted_round_robin.h"

namespace amaranthladder {

const std::string& weighted_round_robin::pick(const std::map<std::string, int>& weights) {
    double total = 0;
    for (const auto& [name, weight] : weights) {
        total += weight;
    }
    const std::string* chosen = &weights.begin()->first;
    double chosen_weight = -1;
    for (const auto& [name, weight] : weights) {
        double& credit = m_credit[name];
        credit += weight / total;
        if (weight > 0 && (chosen_weight < 0 || credit > m_credit[*chosen])) {
            chosen = &name;
            chosen_weight = weight;
        }
    }
    m_credit[*chosen] -= 1;
    return *chosen;
}

} // namespace amaranthladder
