#include "http/private/drain_schedule.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Time that is left for writing a response, or the refusal at a request's deadline, before connections are closed.
constexpr absl::Duration response_write_time = absl::Milliseconds(100);

} // namespace

bool drain_schedule::start(absl::Time notice_ends_at, absl::Time ends_at) {
    if (has_started()) {
        return false;
    }
    m_notice_ends_at = notice_ends_at;
    m_ends_at = ends_at;
    return true;
}

bool drain_schedule::may_accept(absl::Time now, absl::Time deadline) const {
    return now < m_notice_ends_at || deadline + response_write_time <= m_ends_at;
}

bool drain_schedule::may_send(absl::Time now, absl::Duration expected_time, absl::Time deadline) const {
    return std::min(now + expected_time, deadline) + response_write_time <= m_ends_at;
}

} // namespace amaranthladder
