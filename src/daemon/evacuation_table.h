#pragma once

#include "common/revision.h"
#include "daemon/evacuation_record.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace amaranthladder {

/// The orders to evacuate data centres that a daemon knows. Does no I/O. One record per data centre is kept, also after
/// the end of the order, so that a late message cannot restore it.
class evacuation_table {
public:
    /// Merges a record of the store or of a peer.
    /// @return true if it changed what is known of @p data_center.
    bool merge(const std::string& data_center, const evacuation_record& heard);

    /// Ends the orders whose keys are missing from a list of the store's keys. An order that was written after the list
    /// was read is not affected.
    /// @param listed data centres whose keys the list contains.
    /// @param as_of revision of the list.
    /// @return the data centres whose orders have ended.
    std::vector<std::string> end_missing(const std::set<std::string>& listed, revision as_of);

    /// @return the evacuated data centres.
    std::set<std::string> evacuated() const;

    /// @return the records by data centre.
    const std::map<std::string, evacuation_record>& records() const {
        return m_records;
    }

private:
    std::map<std::string, evacuation_record> m_records;
};

} // namespace amaranthladder
