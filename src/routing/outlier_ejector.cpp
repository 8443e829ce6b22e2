#include "routing/outlier_ejector.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>

namespace amaranthladder {

outlier_ejector::outlier_ejector(outlier_ejector_policy policy) : m_policy(policy) {}

void outlier_ejector::set_members(const std::vector<std::string>& ids) {
    const absl::flat_hash_set<std::string> kept(ids.begin(), ids.end());
    absl::erase_if(m_members, [&](const auto& entry) { return !kept.contains(entry.first); });
    for (const std::string& id : ids) {
        m_members.try_emplace(id);
    }
    m_ejected = static_cast<std::size_t>(
        std::ranges::count_if(m_members, [](const auto& entry) { return entry.second.is_ejected; }));
    reinstate_surplus();
}

void outlier_ejector::reset(const std::string& id) {
    const auto found = m_members.find(id);
    if (found != m_members.end()) {
        m_ejected -= found->second.is_ejected ? 1 : 0;
        found->second = member_state{};
    }
}

bool outlier_ejector::on_result(const std::string& id, health_signal signal, absl::Time now) {
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return false;
    }
    member_state& member = found->second;
    if (member.is_ejected) {
        return on_probe_result(member, signal, now);
    }
    if (signal == health_signal::none) {
        return false;
    }
    record_result(member, signal, now);
    if (signal == health_signal::failure || member.evidence > 0) {
        update_evidence(member, signal, better_half_failure_rate(id));
    }
    decay_ejections(member, now);
    if (member.evidence > m_policy.evidence_threshold && can_eject_another()) {
        eject(member, now);
        ++m_ejected;
    } else if (m_ejected > 0 && signal == health_signal::failure &&
               better_half_failure_rate({}) > m_policy.group_failure_threshold) {
        reinstate_all(now);
    }
    return false;
}

void outlier_ejector::on_probe_started(const std::string& id, absl::Time now) {
    const auto found = m_members.find(id);
    if (found != m_members.end() && found->second.is_ejected && now >= found->second.ejected_until) {
        found->second.is_probing = true;
        found->second.probe_started = now;
    }
}

availability outlier_ejector::state(const std::string& id, bool is_idempotent, absl::Time now) const {
    if (m_ejected == 0) {
        return availability::active;
    }
    const auto found = m_members.find(id);
    if (found == m_members.end() || !found->second.is_ejected) {
        return availability::active;
    }
    const member_state& member = found->second;
    const absl::Time allowed =
        member.ejected_until + (is_idempotent ? absl::ZeroDuration() : m_policy.non_idempotent_probe_delay);
    const bool is_blocked = member.is_probing && now < member.probe_started + m_policy.probe_timeout;
    return now < allowed || is_blocked ? availability::ejected : availability::probe;
}

void outlier_ejector::record_result(member_state& member, health_signal signal, absl::Time now) const {
    if (member.last_recorded != absl::InfinitePast() && now > member.last_recorded) {
        const double decay = std::exp2(-absl::FDivDuration(now - member.last_recorded, m_policy.half_life));
        member.successes *= decay;
        member.failures *= decay;
    }
    member.last_recorded = now;
    if (signal == health_signal::success) {
        member.successes += 1;
    } else {
        member.failures += 1;
    }
}

bool outlier_ejector::on_probe_result(member_state& member, health_signal signal, absl::Time now) {
    if (!member.is_probing) {
        return false; // Result of a request that was sent before the ejection.
    }
    member.is_probing = false;
    if (signal == health_signal::failure) {
        eject(member, now);
        return false;
    }
    if (signal == health_signal::success && ++member.probes_succeeded >= m_policy.probe_successes) {
        reinstate(member, now);
        return true;
    }
    return false;
}

double outlier_ejector::better_half_failure_rate(const std::string& excluded_id) const {
    std::vector<const member_state*> others;
    for (const auto& [id, other] : m_members) {
        if (id != excluded_id && !other.is_ejected && other.successes + other.failures > 0) {
            others.push_back(&other);
        }
    }
    std::ranges::sort(others, {},
                      [](const member_state* one) { return one->failures / (one->successes + one->failures); });
    others.resize((others.size() + 1) / 2);
    double failures = 0;
    double requests = 0;
    for (const member_state* other : others) {
        failures += other->failures;
        requests += other->successes + other->failures;
    }
    return requests > 0 ? failures / requests : 0;
}

void outlier_ejector::update_evidence(member_state& member, health_signal signal, double expected_failure_rate) const {
    // At rates near 0 or 1 a single result would decide.
    const double healthy = std::clamp(expected_failure_rate, m_policy.min_failure_rate, 0.99);
    const double faulty = healthy + (1 - healthy) * m_policy.assumed_failure_increase;
    const double ratio =
        signal == health_signal::failure ? std::log(faulty / healthy) : std::log((1 - faulty) / (1 - healthy));
    member.evidence = std::max(member.evidence + ratio, 0.0);
}

bool outlier_ejector::can_eject_another() const {
    return static_cast<double>(m_ejected + 1) <= m_policy.max_ejected_share * static_cast<double>(m_members.size());
}

void outlier_ejector::eject(member_state& member, absl::Time now) const {
    const int doublings = std::min(member.recent_ejections, 30);
    member.is_ejected = true;
    member.is_probing = false;
    member.probes_succeeded = 0;
    member.evidence = 0;
    member.ejected_until = now + std::min(m_policy.base_ejection * static_cast<double>(std::int64_t{1} << doublings),
                                          m_policy.max_ejection);
    ++member.recent_ejections;
}

void outlier_ejector::decay_ejections(member_state& member, absl::Time now) const {
    if (member.recent_ejections > 0 && now - member.healthy_since >= m_policy.ejection_decay_period) {
        --member.recent_ejections;
        member.healthy_since = now;
    }
}

void outlier_ejector::reinstate_surplus() {
    const auto allowed = static_cast<std::size_t>(m_policy.max_ejected_share * static_cast<double>(m_members.size()));
    while (m_ejected > allowed) {
        member_state* soonest = nullptr;
        for (auto& [id, candidate] : m_members) {
            if (candidate.is_ejected && (soonest == nullptr || candidate.ejected_until < soonest->ejected_until)) {
                soonest = &candidate;
            }
        }
        reinstate(*soonest, soonest->ejected_until);
    }
}

void outlier_ejector::reinstate_all(absl::Time now) {
    for (auto& [id, member] : m_members) {
        if (member.is_ejected) {
            reinstate(member, now);
        }
    }
}

void outlier_ejector::reinstate(member_state& member, absl::Time now) {
    const int recent_ejections = member.recent_ejections;
    member = member_state{};
    member.recent_ejections = recent_ejections;
    member.healthy_since = now;
    --m_ejected;
}

} // namespace amaranthladder
