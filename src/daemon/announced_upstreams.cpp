#include "daemon/announced_upstreams.h"

#include "common/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// Announcements are delayed by some seconds at the most.
constexpr absl::Duration ended_retention = absl::Minutes(2);

} // namespace

announced_upstreams::announced_upstreams(std::string data_center, absl::Duration timeout)
    : m_chart(state_chart::embedded("upstream")), m_data_center(std::move(data_center)), m_timeout(timeout) {}

announced_upstreams::change announced_upstreams::announce(const upstream_announcement& announced, absl::Time now) {
    if (is_outdated(announced)) {
        return {};
    }
    change result;
    result.replaced = release_address(announced, now);
    m_ended.erase(announced.id);
    auto [found, is_new] = m_entries.try_emplace(announced.id);
    entry& known = found->second;
    if (is_new) {
        known.state = m_chart.initial();
    }
    const std::string state_before = known.state;
    step(known, announced.is_leaving || m_are_all_leaving ? "leaving" : "announced");
    upstream_announcement comparable = announced;
    comparable.load = known.announced.load;
    comparable.sequence = known.announced.sequence;
    comparable.warm_up_left = known.announced.warm_up_left;
    result.is_changed = is_new || known.state != state_before || !(comparable == known.announced);
    known.announced = announced;
    known.last_heard = now;
    return result;
}

bool announced_upstreams::withdraw(const std::string& id, absl::Time now) {
    if (m_entries.contains(id)) {
        forget(id, now);
        return true;
    }
    // A daemon that was restarted may hear of an upstream's end before its delayed announcements.
    m_ended.try_emplace(id, ended_upstream{{now, 0}, now});
    return false;
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
        // It may only be slow: unlike one that said it has ended, it may announce itself again.
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

announced_upstreams::position announced_upstreams::position_of(const upstream_announcement& announced) {
    return {announced.started_at, announced.sequence};
}

bool announced_upstreams::is_outdated(const upstream_announcement& announced) const {
    if (announced.sequence == 0 && announced.started_at == absl::UnixEpoch()) {
        return false;
    }
    if (const auto known = m_entries.find(announced.id); known != m_entries.end()) {
        return position_of(announced) < position_of(known->second.announced);
    }
    if (const auto ended = m_ended.find(announced.id); ended != m_ended.end()) {
        // An upstream that ended announces itself again only after another start.
        return announced.started_at <= ended->second.last.started_at;
    }
    return std::ranges::any_of(m_entries, [&](const auto& entry) {
        return entry.second.announced.address == announced.address &&
               announced.started_at < entry.second.announced.started_at;
    });
}

std::vector<std::string> announced_upstreams::release_address(const upstream_announcement& announced, absl::Time now) {
    std::vector<std::string> replaced;
    for (const auto& [id, known] : m_entries) {
        if (id == announced.id || known.announced.address != announced.address) {
            continue;
        }
        if (announced.started_at <= known.announced.started_at) {
            throw error(result_code::announcement_conflict,
                        fmt::format("{} is the address of {}", to_string(announced.address), id));
        }
        replaced.push_back(id);
    }
    for (const std::string& id : replaced) {
        forget(id, now);
    }
    return replaced;
}

void announced_upstreams::forget(const std::string& id, absl::Time now) {
    const auto known = m_entries.find(id);
    m_ended[id] = {position_of(known->second.announced), now};
    m_entries.erase(known);
    std::erase_if(m_ended, [now](const auto& ended) { return now - ended.second.ended_at > ended_retention; });
}

void announced_upstreams::step(entry& changed, const std::string& event) const {
    const auto target = m_chart.target(changed.state, event);
    if (!target) {
        throw error(result_code::chart_no_transition, fmt::format("upstream: {} in {}", event, changed.state));
    }
    changed.state = *target;
}

} // namespace amaranthladder
