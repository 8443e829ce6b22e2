#include "daemon/evacuation_service.h"

#include "common/error.h"
#include "config/name_rules.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace amaranthladder {

evacuation_service::evacuation_service(evacuation_callbacks callbacks, event_log& log)
    : m_callbacks(std::move(callbacks)), m_log(log) {}

void evacuation_service::accept(const std::string& data_center, const evacuation_record& read) {
    opaque_record changed;
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_table.merge(data_center, read)) {
            return;
        }
        handle_change(data_center, "store");
        changed = encoded(data_center);
    }
    m_callbacks.send(changed);
}

void evacuation_service::accept_list(const std::set<std::string>& listed, revision as_of) {
    std::vector<opaque_record> changed;
    {
        const absl::MutexLock lock(&m_mutex);
        for (const std::string& data_center : m_table.end_missing(listed, as_of)) {
            handle_change(data_center, "list");
            changed.push_back(encoded(data_center));
        }
    }
    for (const opaque_record& record : changed) {
        m_callbacks.send(record);
    }
}

void evacuation_service::merge_remote(const opaque_record& record) {
    const std::string data_center = record.key.substr(evacuation_key_prefix.size());
    if (!is_valid_name(data_center)) {
        throw error(result_code::message_malformed, "the record of an evacuation names no data centre");
    }
    const evacuation_record heard = evacuation_record::decode(record.bytes);
    const absl::MutexLock lock(&m_mutex);
    if (m_table.merge(data_center, heard)) {
        handle_change(data_center, "peer");
    }
}

std::set<std::string> evacuation_service::evacuated() const {
    const absl::MutexLock lock(&m_mutex);
    return m_table.evacuated();
}

void evacuation_service::handle_change(const std::string& data_center, std::string_view source) {
    const evacuation_record& known = m_table.records().at(data_center);
    std::set<std::string> evacuated = m_table.evacuated();
    m_log.info(fmt::format("evacuation data_center={} state={} revision={} source={} hosts={} evacuated={}",
                           data_center, known.is_active ? "active" : "ended", revision_text(known.changed_in), source,
                           m_callbacks.host_count(data_center), evacuated.size()));
    // Under the lock, so that the data path receives the changes in their order.
    if (evacuated != m_applied) {
        m_applied = std::move(evacuated);
        m_callbacks.apply(m_applied);
    }
}

opaque_record evacuation_service::encoded(const std::string& data_center) const {
    return {std::string(evacuation_key_prefix) + data_center, m_table.records().at(data_center).encode()};
}

} // namespace amaranthladder
