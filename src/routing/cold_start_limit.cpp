#include "routing/cold_start_limit.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

/// Starts are counted over this window, although the platform counts over a second: a daemon with a tenth of a core
/// sends a request up to some 100 ms after its start, so the requests of a longer time arrive in one second.
constexpr absl::Duration counted_window = absl::Milliseconds(1200);
/// Fraction of the platform's bound that is used. The rest covers requests that a previous run of the daemon has sent.
constexpr double used_fraction = 0.9;
/// Fraction of the starts in the window that may come at once. The rest is spread over the window, so that the slots
/// are not idle at its end.
constexpr double burst_fraction = 0.2;
/// Heartbeats take up to about this long, so one that arrives sooner after an event may have been sent before it.
constexpr absl::Duration max_heartbeat_delay = absl::Milliseconds(250);
/// Heartbeats come every 1.5 s: two in a row are missing.
constexpr absl::Duration max_silence = absl::Milliseconds(3500);
/// Connections fail together; a check that is asked between two failures would be older than the second.
constexpr absl::Duration check_delay = absl::Milliseconds(100);
/// Without it, an upstream that resets a connection now and then would cost several checks a second.
constexpr absl::Duration min_check_interval = absl::Seconds(5);
/// Tokens when nothing is known of the past: a previous run of the daemon may have used the others a moment ago.
constexpr double initial_permits = 1;

} // namespace

cold_start_limit::cold_start_limit(cold_start_policy policy) : m_policy(policy) {}

void cold_start_limit::set_rate(double per_second, absl::Time now) {
    if (per_second == m_rate) {
        return;
    }
    const double permits = m_permits ? m_permits->tokens(now) : initial_permits;
    m_rate = per_second;
    if (m_rate <= 0) {
        m_permits.reset();
        m_starts.clear();
        m_check_due.reset();
        return;
    }
    set_permits(permits, now);
}

void cold_start_limit::on_new_start(absl::Time now) {
    make_unknown(absl::InfinitePast(), now);
    m_cold_until = absl::InfinitePast();
    m_valid_from = absl::InfinitePast();
}

void cold_start_limit::on_event(absl::Time now) {
    make_unknown(now, now);
}

void cold_start_limit::on_connection_failed(absl::Time now) {
    const bool was_unknown = is_unknown();
    make_unknown(now, now);
    if (!was_unknown && m_rate > 0 && now - m_checked_at >= min_check_interval) {
        m_check_due = now + check_delay;
    }
}

void cold_start_limit::on_heartbeat(absl::Duration remaining, absl::Time now) {
    on_report(remaining, now - max_heartbeat_delay, now);
}

void cold_start_limit::on_health_check(absl::Duration remaining, absl::Time asked_at, absl::Time now) {
    on_report(remaining, asked_at, now);
}

bool cold_start_limit::take_due_check(absl::Time now) {
    if (!m_unknown_since && now - m_reported_at > max_silence) {
        on_connection_failed(now);
    }
    if (!m_check_due || now < *m_check_due) {
        return false;
    }
    m_check_due.reset();
    m_checked_at = now;
    return true;
}

bool cold_start_limit::may_start(absl::Time now) const {
    return wait(0, now) <= absl::ZeroDuration();
}

void cold_start_limit::on_start(absl::Time now) {
    if (m_rate <= 0) {
        return;
    }
    forget_old_starts(now);
    m_starts.push_back(now);
    if (is_cold(now)) {
        m_permits->take(now);
    }
}

absl::Duration cold_start_limit::wait(std::ptrdiff_t ahead, absl::Time now) const {
    if (!is_limiting(now)) {
        return absl::ZeroDuration();
    }
    absl::Duration result = m_permits->available_at(now, static_cast<double>(ahead + 1)) - now;
    // The start before which max_starts() - 1 others remain in the window. Beyond the known starts the permits decide.
    const std::ptrdiff_t excess = std::ssize(m_starts) + ahead - max_starts();
    if (excess >= 0 && excess < std::ssize(m_starts)) {
        const absl::Time free_at = m_starts[static_cast<std::size_t>(excess)] + counted_window;
        result = std::max(result, free_at - now);
    }
    return result;
}

std::optional<double> cold_start_limit::limit(absl::Time now) const {
    return is_limiting(now) ? std::optional(refill_rate()) : std::nullopt;
}

void cold_start_limit::make_unknown(absl::Time since, absl::Time now) {
    if (!is_cold(now)) {
        begin_limit(now);
    }
    m_unknown_since = since;
}

void cold_start_limit::on_report(absl::Duration remaining, absl::Time valid_from, absl::Time now) {
    m_reported_at = now;
    // A heartbeat may have been sent before the last health check. If it says cold it applies nevertheless: the
    // upstream may have turned cold since.
    if (valid_from < m_valid_from && remaining <= absl::ZeroDuration()) {
        return;
    }
    m_valid_from = std::max(m_valid_from, valid_from);
    if (remaining > absl::ZeroDuration()) {
        if (!is_cold(now)) {
            begin_limit(now);
        }
        m_cold_until = now + remaining;
    }
    if (m_unknown_since && valid_from < *m_unknown_since) {
        return;
    }
    m_unknown_since.reset();
    m_check_due.reset();
    if (remaining <= absl::ZeroDuration()) {
        m_cold_until = absl::InfinitePast();
    }
}

void cold_start_limit::begin_limit(absl::Time now) {
    if (m_rate <= 0) {
        return;
    }
    forget_old_starts(now);
    set_permits(static_cast<double>(max_starts() - std::ssize(m_starts)), now);
}

void cold_start_limit::forget_old_starts(absl::Time now) {
    while (!m_starts.empty() && m_starts.front() + counted_window <= now) {
        m_starts.pop_front();
    }
}

std::ptrdiff_t cold_start_limit::max_starts() const {
    const double allowed = m_rate * m_policy.overage + m_policy.slack;
    return std::max(std::ptrdiff_t{1}, static_cast<std::ptrdiff_t>(std::floor(allowed * used_fraction)));
}

double cold_start_limit::burst() const {
    return std::max(1.0, static_cast<double>(max_starts()) * burst_fraction);
}

double cold_start_limit::refill_rate() const {
    const double spread = std::max(1.0, static_cast<double>(max_starts()) - burst());
    return spread / absl::ToDoubleSeconds(counted_window);
}

void cold_start_limit::set_permits(double permits, absl::Time now) {
    m_permits.emplace(burst(), absl::Seconds(1) / refill_rate(), now, std::clamp(permits, 0.0, burst()));
}

} // namespace amaranthladder
