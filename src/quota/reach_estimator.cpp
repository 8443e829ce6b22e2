#include "quota/reach_estimator.h"

#include <algorithm>

namespace amaranthladder {

void reach_estimator::on_sent(const endpoint& to, absl::Time now) {
    contact& known = m_contacts[to];
    known.unanswered_since = std::min(known.unanswered_since, now);
    known.last_sent = now;
}

void reach_estimator::on_answer(const endpoint& from, absl::Time now) {
    contact& known = m_contacts[from];
    known.answered_at = now;
    known.unanswered_since = absl::InfiniteFuture();
}

std::size_t reach_estimator::samples(absl::Time now, filter counts) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_contacts, [&](const auto& entry) {
        return (is_lost(entry.second, now) || is_answered(entry.second, now)) && counts(entry.first);
    }));
}

double reach_estimator::estimate(absl::Time now, std::size_t needed, filter counts) const {
    std::size_t answered = 0;
    std::size_t total = 0;
    for (const auto& [address, known] : m_contacts) {
        if (!counts(address)) {
            continue;
        }
        const bool is_reached = is_answered(known, now);
        answered += is_reached ? 1 : 0;
        total += is_reached || is_lost(known, now) ? 1 : 0;
    }
    total = std::max(total, needed);
    return total == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(total);
}

bool reach_estimator::is_in_contact(const endpoint& other, absl::Time now) const {
    const auto found = m_contacts.find(other);
    return found != m_contacts.end() && is_answered(found->second, now);
}

bool reach_estimator::is_silent(const endpoint& other, absl::Time now) const {
    const auto found = m_contacts.find(other);
    return found != m_contacts.end() && now - found->second.unanswered_since > answer_timeout &&
           now - found->second.last_sent <= silence_memory;
}

void reach_estimator::on_stall(absl::Duration time) {
    for (auto& [address, known] : m_contacts) {
        known.unanswered_since += time;
    }
}

void reach_estimator::expire(absl::Time now) {
    std::erase_if(m_contacts, [&](const auto& entry) {
        return now - std::max(entry.second.answered_at, entry.second.last_sent) > silence_memory;
    });
}

bool reach_estimator::is_lost(const contact& known, absl::Time now) {
    return now - known.unanswered_since > answer_timeout && now - known.last_sent <= memory + answer_timeout;
}

bool reach_estimator::is_answered(const contact& known, absl::Time now) {
    return now - known.answered_at <= memory && !is_lost(known, now);
}

} // namespace amaranthladder
