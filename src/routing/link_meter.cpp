#include "routing/link_meter.h"

#include "routing/link_units.h"

#include <algorithm>

namespace amaranthladder {

link_meter::link_meter(double megabits_per_second, link_meter_policy policy)
    : m_megabits_per_second(megabits_per_second), m_policy(policy) {}

void link_meter::observe(std::uint64_t total, absl::Time now) {
    m_latest = {now, total};
    if (m_counts.empty() || now - m_counts.back().at >= m_policy.resolution) {
        m_counts.push_back(m_latest);
    }
    while (m_counts.size() > 1 && m_counts[1].at <= now - m_policy.window) {
        m_counts.pop_front();
    }
}

double link_meter::bytes_per_second() const {
    if (m_counts.empty()) {
        return 0;
    }
    // With few requests the first count may be older than the window; the rate is then that of a longer time.
    const count& first = m_counts.front();
    const double seconds = absl::ToDoubleSeconds(m_latest.at - first.at);
    const double bytes = static_cast<double>(m_latest.total - first.total);
    return bytes / std::max(seconds, absl::ToDoubleSeconds(m_policy.window));
}

std::optional<double> link_meter::utilisation() const {
    if (m_megabits_per_second <= 0) {
        return std::nullopt;
    }
    return bytes_per_second() / (m_megabits_per_second * bytes_per_megabit);
}

} // namespace amaranthladder
