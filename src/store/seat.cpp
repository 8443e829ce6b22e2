#include "store/seat.h"

#include "common/error.h"

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

// Part of a lease's lifetime in which its holder acts; the rest allows for clocks of different speeds.
constexpr double trusted_share = 0.9;

// Renewals of seats that were acquired together do not stay together.
constexpr double renewal_jitter = 0.1;

// A drawn attempt that lies further ahead is drawn again at this time, with the count of daemons and the spacing known
// then. The exponential distribution has no memory, so this does not change the rate of attempts.
constexpr absl::Duration draw_interval = absl::Seconds(2);

// The spacing is this part of the time that the seat has been empty.
constexpr double spacing_share = 0.1;

constexpr absl::Duration first_renewal_retry = absl::Milliseconds(500);

} // namespace

std::string seat_key(const std::string& data_center, int number) {
    return fmt::format("seat/{}/{}", data_center, number);
}

seat::seat(seat_settings settings, absl::Time now)
    : m_settings(std::move(settings)), m_chart(state_chart::embedded("seat")), m_state(m_chart.initial()),
      m_budget(m_settings.budget_calls, m_settings.budget_refill, now), m_settled(now + m_settings.settle_time),
      m_silent_since(now), m_renewal_backoff(first_renewal_retry, m_settings.ttl / 3) {}

void seat::holder_silent(int candidates, absl::Time now, absl::BitGenRef random) {
    m_candidates = candidates;
    if (m_state != "idle") {
        return;
    }
    fire("holder_silent");
    m_silent_since = now;
    draw_attempt(now, random);
}

void seat::holder_seen() {
    if (m_state != "waiting") {
        return;
    }
    fire("holder_seen");
    m_due = absl::InfiniteFuture();
}

seat_call seat::next_call(absl::Time now, absl::BitGenRef random) {
    if (m_state == "holding" && m_is_stopping) {
        return begin_call(seat_call::release, "stopping", now);
    }
    if (m_state == "holding" && now >= m_valid_until) {
        fire("expired");
        m_silent_since = now;
        draw_attempt(now, random);
        return seat_call::none;
    }
    if (now < m_due || (m_state != "waiting" && m_state != "holding")) {
        return seat_call::none;
    }
    if (m_state == "waiting" && !m_is_attempt_drawn) {
        draw_attempt(now, random);
        return seat_call::none;
    }
    if (!m_budget.try_take(now)) {
        m_due = m_budget.available_at(now);
        return seat_call::none;
    }
    return begin_call(m_state == "waiting" ? seat_call::acquire : seat_call::renew, "due", now);
}

void seat::on_reply(store_outcome outcome, const lease& granted, absl::Time now, absl::BitGenRef random) {
    if (outcome == store_outcome::ok) {
        return on_granted(granted, now, random);
    }
    on_not_granted(outcome == store_outcome::conflict || outcome == store_outcome::absent, now, random);
}

void seat::stop(absl::Time now) {
    m_is_stopping = true;
    if (m_state == "holding") {
        m_due = now;
    } else if (m_state == "idle" || m_state == "waiting") {
        fire("stopping");
        m_due = absl::InfiniteFuture();
    }
}

bool seat::is_held(absl::Time now) const {
    return now < m_valid_until && (m_state == "holding" || m_state == "renewing");
}

absl::Time seat::next_time() const {
    return m_state == "holding" ? std::min(m_due, m_valid_until) : m_due;
}

void seat::fire(const char* event) {
    auto target = m_chart.target(m_state, event);
    if (!target) {
        throw error(result_code::chart_no_transition, fmt::format("seat: {} in {}", event, m_state));
    }
    m_state = std::move(*target);
}

void seat::draw_attempt(absl::Time now, absl::BitGenRef random) {
    const int candidates = now < m_settled ? std::max(m_candidates, m_settings.min_candidates) : m_candidates;
    const absl::Duration mean = spacing(now) * std::max(candidates, 1);
    const absl::Duration delay = mean * absl::Exponential<double>(random, 1.0);
    m_is_attempt_drawn = delay <= draw_interval;
    m_due = now + std::min(delay, draw_interval);
}

absl::Duration seat::spacing(absl::Time now) const {
    return std::clamp((now - m_silent_since) * spacing_share, m_settings.first_spacing, m_settings.last_spacing);
}

seat_call seat::begin_call(seat_call call, const char* event, absl::Time now) {
    fire(event);
    m_sent = now;
    m_due = absl::InfiniteFuture();
    return call;
}

void seat::on_granted(const lease& granted, absl::Time now, absl::BitGenRef random) {
    fire("granted");
    if (m_state == "stopped") {
        m_valid_until = absl::InfinitePast();
        return;
    }
    m_lease = granted;
    // The store counts from its receipt of the call, which is later than the sending.
    m_valid_until = m_sent + m_settings.ttl * trusted_share;
    m_renewal_backoff.reset();
    const double jitter = absl::Uniform<double>(random, 1.0 - renewal_jitter, 1.0 + renewal_jitter);
    m_due = m_is_stopping ? now : m_sent + m_settings.ttl / 3 * jitter;
}

void seat::on_not_granted(bool is_refused, absl::Time now, absl::BitGenRef random) {
    fire(is_refused ? "refused" : "failed");
    if (m_state == "holding") {
        m_due = now + m_renewal_backoff.next_delay(random);
        return;
    }
    m_valid_until = absl::InfinitePast();
    if (m_state != "waiting") {
        m_due = absl::InfiniteFuture();
        return;
    }
    if (m_is_stopping) {
        return stop(now);
    }
    draw_attempt(now, random);
}

} // namespace amaranthladder
