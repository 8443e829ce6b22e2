#include "daemon/announced_upstreams.h"

#include "common/error.h"

#include <fmt/format.h>

#include <utility>

namespace amaranthladder {

announced_upstreams::announced_upstreams(std::string data_center, absl::Duration timeout)
    : m_chart(state_chart::embedded("upstream")), m_data_center(std::move(data_center)), m_timeout(timeout) {}

bool announced_upstreams::announce(const upstream_announcement& announced, absl::Time now) {
    require_free_address(announced);
    auto [found, is_new] = m_entries.try_emplace(announced.id);
    entry& known = found->second;
    if (is_new) {
        known.state = m_chart.initial();
    }
    const std::string state_before = known.state;
    step(known, announced.is_leaving || m_are_all_leaving ? "leaving" : "announced");
    upstream_announcement comparable = announced;
    comparable.load = known.announced.load;
    const bool is_changed = is_new || known.state != state_before || !(comparable == known.announced);
    known.announced = announced;
    known.last_heard = now;
    return is_changed;
}

std::vector<std::string> announced_upstreams::expire(absl::Time now) {
    std::vector<std::string> gone;
    for (const auto& [id, known] : m_entries) {
        if (now - known.last_heard >= m_timeout) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        step(m_entries.at(id), "silent");
        m_entries.erase(id);
    }
    return gone;
}

void announced_upstreams::set_all_leaving() {
    m_are_all_leaving = true;
    for (auto& [id, known] : m_entries) {
        step(known, "leaving");
    }
}

upstream_record announced_upstreams::record(const std::string& id) const {
    const entry& known = m_entries.at(id);
    upstream_record result;
    result.id = id;
    result.service = known.announced.service;
    result.version = known.announced.version;
    result.data_center = m_data_center;
    result.address = known.announced.address;
    result.slots = known.announced.slots;
    result.routes = known.announced.routes;
    result.is_leaving = known.state == "draining";
    return result;
}

void announced_upstreams::require_free_address(const upstream_announcement& announced) const {
    for (const auto& [id, known] : m_entries) {
        if (id != announced.id && known.announced.address == announced.address) {
            throw error(result_code::announcement_conflict,
                        fmt::format("{} is the address of {}", to_string(announced.address), id));
        }
    }
}

void announced_upstreams::step(entry& changed, const std::string& event) const {
    const auto target = m_chart.target(changed.state, event);
    if (!target) {
        throw error(result_code::chart_no_transition, fmt::format("upstream: {} in {}", event, changed.state));
    }
    changed.state = *target;
}

} // namespace amaranthladder
