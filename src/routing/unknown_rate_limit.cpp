#include "routing/unknown_rate_limit.h"

namespace amaranthladder {

namespace {

/// Most responses arrive sooner, so that most restarts of a daemon cost no health check beside that of the recall.
constexpr absl::Duration check_delay = absl::Milliseconds(500);
/// A check may be lost or be answered by another upstream. Heartbeats come every 1.5 s.
constexpr absl::Duration check_interval = absl::Milliseconds(1500);

} // namespace

void unknown_rate_limit::begin() {
    m_is_unknown = true;
    m_check_due.reset();
    m_checked_at.reset();
}

void unknown_rate_limit::end() {
    m_is_unknown = false;
    m_check_due.reset();
    m_checked_at.reset();
}

void unknown_rate_limit::on_start(absl::Time now) {
    if (m_is_unknown && !m_check_due) {
        m_check_due = now + check_delay;
    }
}

bool unknown_rate_limit::take_due_check(absl::Time now) {
    if (!m_check_due || now < *m_check_due) {
        return false;
    }
    m_checked_at = now;
    m_check_due = now + check_interval;
    return true;
}

} // namespace amaranthladder
