#include "http/private/body_time_limit.h"

#include <algorithm>

namespace amaranthladder {

body_time_limit::body_time_limit(absl::Time deadline, bool has_declared_length, absl::Duration idle_timeout)
    : m_deadline(deadline), m_has_declared_length(has_declared_length), m_idle_timeout(idle_timeout) {}

absl::Duration body_time_limit::next_wait(absl::Time now) const {
    const absl::Duration left = m_has_declared_length
                                    ? std::max(m_deadline - now, absl::ZeroDuration()) + grace - m_late_wait
                                    : m_deadline + grace - now;
    return std::min(left, m_idle_timeout);
}

void body_time_limit::on_read(absl::Time started_at, absl::Time now, std::size_t bytes) {
    if (now <= m_deadline) {
        return;
    }
    m_late_wait += now - std::max(started_at, m_deadline);
    m_late_wait -= absl::Seconds(static_cast<double>(bytes) / min_late_rate);
    m_late_wait = std::max(m_late_wait, absl::ZeroDuration());
}

} // namespace amaranthladder
