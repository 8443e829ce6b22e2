#include "routing/weighted_rotation.h"

namespace amaranthladder {

const std::string& weighted_rotation::pick(const std::map<std::string, int>& weights) {
    double total = 0;
    for (const auto& [name, weight] : weights) {
        total += weight;
    }
    const std::string* chosen = &weights.begin()->first;
    double most = -1;
    for (const auto& [name, weight] : weights) {
        double& credit = m_credit[name];
        credit += weight / total;
        if (weight > 0 && (most < 0 || credit > m_credit[*chosen])) {
            chosen = &name;
            most = weight;
        }
    }
    m_credit[*chosen] -= 1;
    return *chosen;
}

} // namespace amaranthladder
