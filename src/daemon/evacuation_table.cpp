#include "daemon/evacuation_table.h"

namespace amaranthladder {

bool evacuation_table::merge(const std::string& data_center, const evacuation_record& heard) {
    const auto [found, is_new] = m_records.try_emplace(data_center, heard);
    if (is_new) {
        return true;
    }
    const evacuation_record merged = amaranthladder::merge(found->second, heard);
    if (merged == found->second) {
        return false;
    }
    found->second = merged;
    return true;
}

std::vector<std::string> evacuation_table::end_missing(const std::set<std::string>& listed, revision as_of) {
    std::vector<std::string> ended;
    for (auto& [data_center, known] : m_records) {
        if (known.is_active && known.changed_in <= as_of && !listed.contains(data_center)) {
            known = {as_of, false};
            ended.push_back(data_center);
        }
    }
    return ended;
}

std::set<std::string> evacuation_table::evacuated() const {
    std::set<std::string> result;
    for (const auto& [data_center, known] : m_records) {
        if (known.is_active) {
            result.insert(data_center);
        }
    }
    return result;
}

} // namespace amaranthladder
