#include "routing/ejector.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>

namespace amaranthladder {

ejector::ejector(ejector_policy policy) : m_policy(policy) {}

void ejector::set_members(const std::vector<std::string>& ids) {
    const absl::flat_hash_set<std::string> kept(ids.begin(), ids.end());
    absl::erase_if(m_members, [&](const auto& entry) { return !kept.contains(entry.first); });
    for (const std::string& id : ids) {
        m_members.try_emplace(id);
    }
    m_ejected = static_cast<std::size_t>(
        std::ranges::count_if(m_members, [](const auto& entry) { return entry.second.is_ejected; }));
    reinstate_surplus();
}

void ejector::reset(const std::string& id) {
    const auto found = m_members.find(id);
    if (found != m_members.end()) {
        m_ejected -= found->second.is_ejected ? 1 : 0;
        found->second = member{};
    }
}

bool ejector::on_result(const std::string& id, health_signal signal, absl::Time now) {
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return false;
    }
    member& subject = found->second;
    if (subject.is_ejected) {
        return on_probe_result(subject, signal, now);
    }
    if (signal == health_signal::none) {
        return false;
    }
    count(subject, signal, now);
    forgive(subject, now);
    if (signal == health_signal::failure && has_room() && should_eject(id, subject)) {
        eject(subject, now);
        ++m_ejected;
    }
    return false;
}

void ejector::on_probe_started(const std::string& id, absl::Time now) {
    const auto found = m_members.find(id);
    if (found != m_members.end() && found->second.is_ejected && now >= found->second.ejected_until) {
        found->second.is_probing = true;
        found->second.probe_started = now;
    }
}

availability ejector::state(const std::string& id, bool is_idempotent, absl::Time now) const {
    if (m_ejected == 0) {
        return availability::active;
    }
    const auto found = m_members.find(id);
    if (found == m_members.end() || !found->second.is_ejected) {
        return availability::active;
    }
    const member& subject = found->second;
    const absl::Time allowed = subject.ejected_until + (is_idempotent ? absl::ZeroDuration() : m_policy.probe_patience);
    const bool is_blocked = subject.is_probing && now < subject.probe_started + m_policy.probe_timeout;
    return now < allowed || is_blocked ? availability::ejected : availability::probe;
}

void ejector::count(member& subject, health_signal signal, absl::Time now) const {
    if (subject.counted != absl::InfinitePast() && now > subject.counted) {
        const double kept = std::exp2(-absl::FDivDuration(now - subject.counted, m_policy.half_life));
        subject.successes *= kept;
        subject.failures *= kept;
    }
    subject.counted = now;
    if (signal == health_signal::success) {
        subject.successes += 1;
        subject.failures_in_row = 0;
    } else {
        subject.failures += 1;
        ++subject.failures_in_row;
    }
}

bool ejector::on_probe_result(member& subject, health_signal signal, absl::Time now) {
    if (!subject.is_probing) {
        return false; // Answers of requests from before the ejection say nothing new.
    }
    subject.is_probing = false;
    if (signal == health_signal::failure) {
        eject(subject, now);
        return false;
    }
    if (signal == health_signal::success && ++subject.probes_succeeded >= m_policy.probe_successes) {
        const int ejections = subject.ejections;
        subject = member{};
        subject.ejections = ejections;
        subject.healthy_since = now;
        --m_ejected;
        return true;
    }
    return false;
}

bool ejector::should_eject(const std::string& id, const member& subject) const {
    const double others = others_success(id);
    if (subject.failures_in_row >= m_policy.consecutive_failures && is_unlikely_run(subject.failures_in_row, others)) {
        return true;
    }
    const double requests = subject.successes + subject.failures;
    const double chance = m_policy.chance_deviations * std::sqrt(others * (1 - others) / std::max(requests, 1.0));
    return requests >= m_policy.least_requests &&
           subject.successes / requests < others - std::max(m_policy.success_margin, chance);
}

bool ejector::is_unlikely_run(int failures, double success_rate) const {
    return std::pow(1 - success_rate, failures) < m_policy.chance_of_run;
}

double ejector::others_success(const std::string& id) const {
    double successes = 0;
    double requests = 0;
    for (const auto& [other_id, other] : m_members) {
        if (other_id != id && !other.is_ejected) {
            successes += other.successes;
            requests += other.successes + other.failures;
        }
    }
    return requests > 0 ? successes / requests : 1;
}

bool ejector::has_room() const {
    return static_cast<double>(m_ejected + 1) <= m_policy.max_ejected_share * static_cast<double>(m_members.size());
}

void ejector::eject(member& subject, absl::Time now) const {
    const int doublings = std::min(subject.ejections, 30);
    subject.is_ejected = true;
    subject.is_probing = false;
    subject.probes_succeeded = 0;
    subject.failures_in_row = 0;
    subject.ejected_until = now + std::min(m_policy.base_ejection * static_cast<double>(std::int64_t{1} << doublings),
                                           m_policy.max_ejection);
    ++subject.ejections;
}

void ejector::forgive(member& subject, absl::Time now) const {
    if (subject.ejections > 0 && now - subject.healthy_since >= m_policy.forgive_after) {
        --subject.ejections;
        subject.healthy_since = now;
    }
}

void ejector::reinstate_surplus() {
    const auto allowed = static_cast<std::size_t>(m_policy.max_ejected_share * static_cast<double>(m_members.size()));
    while (m_ejected > allowed) {
        member* soonest = nullptr;
        for (auto& [id, candidate] : m_members) {
            if (candidate.is_ejected && (soonest == nullptr || candidate.ejected_until < soonest->ejected_until)) {
                soonest = &candidate;
            }
        }
        const int ejections = soonest->ejections;
        const absl::Time until = soonest->ejected_until;
        *soonest = member{};
        soonest->ejections = ejections;
        soonest->healthy_since = until;
        --m_ejected;
    }
}

} // namespace amaranthladder
