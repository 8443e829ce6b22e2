#include "daemon/announced_upstreams.h"

#include "common/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// Time for which ended upstreams are remembered. Announcements are delayed by a few seconds at most.
constexpr absl::Duration ended_retention = absl::Minutes(2);

} // namespace

announced_upstreams::announced_upstreams(std::string data_center, absl::Duration timeout)
    : m_chart(state_chart::embedded("upstream")), m_data_center(std::move(data_center)), m_timeout(timeout) {}

announced_upstreams::change announced_upstreams::announce(const upstream_announcement& announcement, absl::Time now) {
    if (is_outdated(announcement)) {
        return {};
    }
    change result;
    result.replaced_ids = release_address(announcement, now);
    m_ended.erase(announcement.id);
    auto [found, is_new] = m_upstreams.try_emplace(announcement.id);
    upstream& known = found->second;
    if (is_new) {
        known.state = m_chart.initial();
    }
    const std::string state_before = known.state;
    if (announcement.started_at != known.announcement.started_at) {
        known.has_said_leaving = false;
    }
    const bool is_leaving = announcement.is_leaving || known.has_said_leaving || m_are_all_leaving;
    apply_event(known, is_leaving ? "leaving" : "announced");
    upstream_announcement comparable = announcement;
    comparable.load = known.announcement.load;
    comparable.sequence = known.announcement.sequence;
    comparable.remaining_warm_up = known.announcement.remaining_warm_up;
    result.is_record_changed = is_new || known.state != state_before || !(comparable == known.announcement);
    known.announcement = announcement;
    known.last_heard = now;
    return result;
}

bool announced_upstreams::withdraw(const std::string& id, absl::Time now) {
    if (m_upstreams.contains(id)) {
        remove(id, now);
        return true;
    }
    // After a restart of the daemon, the withdrawal may arrive before delayed announcements of the same upstream.
    m_ended.try_emplace(id, ended_upstream{{now, 0}, now});
    return false;
}

bool announced_upstreams::set_said_leaving(const std::string& id) {
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || std::exchange(found->second.has_said_leaving, true)) {
        return false;
    }
    const std::string state_before = found->second.state;
    apply_event(found->second, "leaving");
    return found->second.state != state_before;
}

std::vector<std::string> announced_upstreams::expire(absl::Time now) {
    std::vector<std::string> gone;
    for (const auto& [id, known] : m_upstreams) {
        if (now - known.last_heard >= m_timeout) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        apply_event(m_upstreams.at(id), "silent");
        // Not recorded as ended: a slow upstream may announce itself again.
        m_upstreams.erase(id);
    }
    return gone;
}

void announced_upstreams::set_all_leaving() {
    m_are_all_leaving = true;
    for (auto& [id, known] : m_upstreams) {
        apply_event(known, "leaving");
    }
}

upstream_record announced_upstreams::record(const std::string& id) const {
    const upstream& known = m_upstreams.at(id);
    upstream_record result;
    result.id = id;
    result.service = known.announcement.service;
    result.version = known.announcement.version;
    result.data_center = m_data_center;
    result.address = known.announcement.address;
    result.slots = known.announcement.slots;
    result.routes = known.announcement.routes;
    result.is_leaving = known.state == "draining";
    result.started_at = known.announcement.started_at;
    return result;
}

announced_upstreams::ordering_key announced_upstreams::ordering_key_of(const upstream_announcement& announcement) {
    return {announcement.started_at, announcement.sequence};
}

bool announced_upstreams::is_outdated(const upstream_announcement& announcement) const {
    if (announcement.sequence == 0 && announcement.started_at == absl::UnixEpoch()) {
        return false;
    }
    if (const auto known = m_upstreams.find(announcement.id); known != m_upstreams.end()) {
        return ordering_key_of(announcement) < ordering_key_of(known->second.announcement);
    }
    if (const auto ended = m_ended.find(announcement.id); ended != m_ended.end()) {
        // Only a new start of the upstream makes it valid again.
        return announcement.started_at <= ended->second.last.started_at;
    }
    return std::ranges::any_of(m_upstreams, [&](const auto& other) {
        return other.second.announcement.address == announcement.address &&
               announcement.started_at < other.second.announcement.started_at;
    });
}

std::vector<std::string> announced_upstreams::release_address(const upstream_announcement& announcement,
                                                              absl::Time now) {
    std::vector<std::string> replaced;
    for (const auto& [id, known] : m_upstreams) {
        if (id == announcement.id || known.announcement.address != announcement.address) {
            continue;
        }
        if (announcement.started_at <= known.announcement.started_at) {
            throw error(result_code::announcement_conflict,
                        fmt::format("address {} is in use by upstream {}", to_string(announcement.address), id));
        }
        replaced.push_back(id);
    }
    for (const std::string& id : replaced) {
        remove(id, now);
    }
    return replaced;
}

void announced_upstreams::remove(const std::string& id, absl::Time now) {
    const auto known = m_upstreams.find(id);
    m_ended[id] = {ordering_key_of(known->second.announcement), now};
    m_upstreams.erase(known);
    std::erase_if(m_ended, [now](const auto& ended) { return now - ended.second.ended_at > ended_retention; });
}

void announced_upstreams::apply_event(upstream& changed, const std::string& event) const {
    const auto target = m_chart.target(changed.state, event);
    if (!target) {
        throw error(result_code::chart_no_transition,
                    fmt::format("upstream: no transition for event {} in state {}", event, changed.state));
    }
    changed.state = *target;
}

} // namespace amaranthladder
