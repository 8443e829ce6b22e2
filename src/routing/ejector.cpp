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
    if (signal == health_signal::failure || subject.evidence > 0) {
        weigh_evidence(subject, signal, failure_rate_of_best(id));
    }
    forgive(subject, now);
    if (subject.evidence > m_policy.evidence_limit && has_room()) {
        eject(subject, now);
        ++m_ejected;
    } else if (m_ejected > 0 && signal == health_signal::failure &&
               failure_rate_of_best({}) > m_policy.common_failure_rate) {
        reinstate_all(now);
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
    } else {
        subject.failures += 1;
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
        reinstate(subject, now);
        return true;
    }
    return false;
}

double ejector::failure_rate_of_best(const std::string& excluded_id) const {
    std::vector<const member*> others;
    for (const auto& [id, other] : m_members) {
        if (id != excluded_id && !other.is_ejected && other.successes + other.failures > 0) {
            others.push_back(&other);
        }
    }
    std::ranges::sort(others, {}, [](const member* one) { return one->failures / (one->successes + one->failures); });
    others.resize((others.size() + 1) / 2);
    double failures = 0;
    double requests = 0;
    for (const member* other : others) {
        failures += other->failures;
        requests += other->successes + other->failures;
    }
    return requests > 0 ? failures / requests : 0;
}

void ejector::weigh_evidence(member& subject, health_signal signal, double expected_failure_rate) const {
    // Bounded away from 0 and 1, where one result would decide.
    const double healthy = std::clamp(expected_failure_rate, m_policy.least_failure_rate, 0.99);
    const double faulty = healthy + (1 - healthy) * m_policy.suspected_increase;
    const double ratio =
        signal == health_signal::failure ? std::log(faulty / healthy) : std::log((1 - faulty) / (1 - healthy));
    subject.evidence = std::max(subject.evidence + ratio, 0.0);
}

bool ejector::has_room() const {
    return static_cast<double>(m_ejected + 1) <= m_policy.max_ejected_share * static_cast<double>(m_members.size());
}

void ejector::eject(member& subject, absl::Time now) const {
    const int doublings = std::min(subject.ejections, 30);
    subject.is_ejected = true;
    subject.is_probing = false;
    subject.probes_succeeded = 0;
    subject.evidence = 0;
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
        reinstate(*soonest, soonest->ejected_until);
    }
}

void ejector::reinstate_all(absl::Time now) {
    for (auto& [id, subject] : m_members) {
        if (subject.is_ejected) {
            reinstate(subject, now);
        }
    }
}

void ejector::reinstate(member& subject, absl::Time now) {
    const int ejections = subject.ejections;
    subject = member{};
    subject.ejections = ejections;
    subject.healthy_since = now;
    --m_ejected;
}

} // namespace amaranthladder
