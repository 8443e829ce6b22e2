#include "daemon/announced_upstreams.h"

#include "common/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// Clocks of hosts differ, and jump, by seconds. A start beyond this would make all true ones count as earlier.
constexpr absl::Duration max_clock_difference = absl::Hours(1);

} // namespace

announced_upstreams::announced_upstreams(std::string data_center, absl::Duration timeout)
    : m_chart(state_chart::embedded("upstream")), m_data_center(std::move(data_center)), m_timeout(timeout) {}

announced_upstreams::change announced_upstreams::announce(const upstream_announcement& announcement, absl::Time now) {
    if (announcement.started_at > now + max_clock_difference) {
        throw error(result_code::announcement_malformed,
                    fmt::format("upstream {} states a start in the future", announcement.id));
    }
    change result;
    if (is_outdated(announcement)) {
        result.is_ignored = true;
        return result;
    }
    result.replaced_ids = release_address(announcement, now);
    auto [found, is_new] = m_upstreams.try_emplace(announcement.id);
    upstream& known = found->second;
    if (is_new) {
        known.state = m_chart.initial();
    }
    result.is_repeated = !is_new && announcement.sequence != 0 &&
                         announcement.started_at == known.announcement.started_at &&
                         announcement.sequence == known.announcement.sequence;
    const std::string state_before = known.state;
    if (is_new || announcement.started_at != known.announcement.started_at) {
        const std::optional<upstream_departure> said = departure(announcement.id);
        known.has_said_leaving =
            said && said->kind == departure_kind::responded && said->started_at == announcement.started_at;
    }
    if (announcement.is_leaving && state_before != "draining" && announcement.started_at != absl::UnixEpoch()) {
        record_departure(announcement.id,
                         {announcement.started_at, departure_kind::announced, announcement.sequence, now}, now);
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
    // After a restart of the daemon, the withdrawal may arrive before delayed announcements of the same upstream. What
    // other daemons have told of it names its start; without that, all starts until now count.
    const std::optional<upstream_departure> known = departure(id);
    record_departure(id, {known ? known->started_at : now, departure_kind::ended, 0, now}, now);
    return false;
}

void announced_upstreams::forget(const std::string& id) {
    m_upstreams.erase(id);
}

std::vector<std::string> announced_upstreams::ids() const {
    std::vector<std::string> result;
    result.reserve(m_upstreams.size());
    for (const auto& [id, known] : m_upstreams) {
        result.push_back(id);
    }
    return result;
}

bool announced_upstreams::set_said_leaving(const std::string& id, absl::Time now) {
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || std::exchange(found->second.has_said_leaving, true)) {
        return false;
    }
    if (found->second.announcement.started_at != absl::UnixEpoch()) {
        record_departure(id, {found->second.announcement.started_at, departure_kind::responded, 0, now}, now);
    }
    const std::string state_before = found->second.state;
    apply_event(found->second, "leaving");
    return found->second.state != state_before;
}

announced_upstreams::departure_effect
announced_upstreams::hear_departure(const std::string& id, const upstream_departure& heard, absl::Time now) {
    if (!record_departure(id, heard, now)) {
        return departure_effect::none;
    }
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.announcement.started_at > heard.started_at) {
        return departure_effect::none;
    }
    if (heard.kind == departure_kind::ended) {
        m_upstreams.erase(found);
        return departure_effect::removed;
    }
    if (found->second.announcement.started_at < heard.started_at) {
        return departure_effect::none; // Another daemon has heard of a later start.
    }
    if (heard.kind == departure_kind::responded) {
        found->second.has_said_leaving = true;
    } else if (!heard.supersedes(heard.started_at, found->second.announcement.sequence)) {
        return departure_effect::none; // Announcements that arrived here were sent later.
    }
    const std::string state_before = found->second.state;
    apply_event(found->second, "leaving");
    return found->second.state != state_before ? departure_effect::record_changed : departure_effect::none;
}

std::optional<upstream_departure> announced_upstreams::departure(const std::string& id) const {
    const auto found = m_departures.find(id);
    return found == m_departures.end() ? std::nullopt : std::optional(found->second);
}

bool announced_upstreams::has_departed(const upstream_record& record) const {
    const auto found = m_departures.find(record.id);
    return found != m_departures.end() && found->second.kind != departure_kind::announced &&
           record.started_at != absl::UnixEpoch() && record.started_at <= found->second.started_at;
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
    if (const auto known = departure(announcement.id);
        known && known->supersedes(announcement.started_at, announcement.sequence)) {
        return true;
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
    record_departure(id, {known->second.announcement.started_at, departure_kind::ended, 0, now}, now);
    m_upstreams.erase(known);
}

bool announced_upstreams::record_departure(const std::string& id, const upstream_departure& heard, absl::Time now) {
    std::erase_if(m_departures, [now](const auto& known) { return is_obsolete(known.second, now); });
    const auto [found, is_new] = m_departures.try_emplace(id, heard);
    if (!is_new && !is_later(heard, found->second)) {
        return false;
    }
    found->second = heard;
    return true;
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
