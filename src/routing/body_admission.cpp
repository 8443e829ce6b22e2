#include "routing/body_admission.h"

#include <algorithm>

namespace amaranthladder {

body_admission::body_admission(body_admission_policy policy) : m_policy(policy) {}

body_admission::verdict body_admission::offer(const body_offer& offered, absl::Time now) {
    std::size_t ahead = link_bytes(now);
    for (const body_offer& waiting : m_waiting) {
        ahead += waiting.bytes;
    }
    if (now + link_time(ahead + offered.bytes) > offered.latest_arrival ||
        memory_of(offered.bytes) > m_policy.max_held_bytes) {
        return verdict::refused;
    }
    if (m_waiting.empty() && may_start(offered.bytes, now)) {
        start(offered.id, offered.bytes, now);
        return verdict::receive;
    }
    if (!offered.may_wait) {
        return verdict::refused;
    }
    m_waiting.push_back(offered);
    return verdict::wait;
}

void body_admission::on_transferred(request_id id) {
    std::erase_if(m_transfers, [id](const transfer& one) { return one.id == id; });
}

void body_admission::release(request_id id) {
    on_transferred(id);
    std::erase_if(m_held, [id](const held_body& one) { return one.id == id; });
}

std::vector<request_id> body_admission::start_waiting(absl::Time now) {
    std::vector<request_id> started;
    while (!m_waiting.empty() && may_start(m_waiting.front().bytes, now)) {
        const body_offer next = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        start(next.id, next.bytes, now);
        started.push_back(next.id);
    }
    return started;
}

std::vector<request_id> body_admission::expire(absl::Time now) {
    std::vector<request_id> dropped;
    std::erase_if(m_waiting, [&](const body_offer& waiting) {
        if (now + link_time(waiting.bytes) <= waiting.latest_arrival) {
            return false;
        }
        dropped.push_back(waiting.id);
        return true;
    });
    return dropped;
}

void body_admission::cancel(request_id id) {
    std::erase_if(m_waiting, [id](const body_offer& waiting) { return waiting.id == id; });
}

absl::Duration body_admission::link_time(std::size_t bytes) const {
    return m_policy.link_bytes_per_second > 0
               ? absl::Seconds(static_cast<double>(bytes) / m_policy.link_bytes_per_second)
               : absl::ZeroDuration();
}

std::size_t body_admission::link_bytes(absl::Time now) const {
    std::size_t total = 0;
    for (const transfer& one : m_transfers) {
        total += now < one.counts_until ? one.bytes : 0;
    }
    return total;
}

std::size_t body_admission::held_bytes() const {
    std::size_t total = 0;
    for (const held_body& one : m_held) {
        total += one.bytes;
    }
    return total;
}

std::size_t body_admission::memory_of(std::size_t bytes) const {
    return std::min(bytes, m_policy.max_held_bytes_per_body);
}

bool body_admission::may_start(std::size_t bytes, absl::Time now) const {
    const std::size_t under_way = link_bytes(now);
    // A body that alone exceeds the limit is received when no other is under way.
    const bool fits_link = under_way == 0 || link_time(under_way + bytes) <= m_policy.max_link_delay;
    return fits_link && transfers() < m_policy.max_transfers &&
           held_bytes() + memory_of(bytes) <= m_policy.max_held_bytes;
}

void body_admission::start(request_id id, std::size_t bytes, absl::Time now) {
    const absl::Duration slow_after =
        std::max(m_policy.min_slow_sender_time, m_policy.slow_sender_factor * link_time(bytes));
    m_transfers.push_back({id, bytes, now + slow_after});
    m_held.push_back({id, memory_of(bytes)});
}

} // namespace amaranthladder
