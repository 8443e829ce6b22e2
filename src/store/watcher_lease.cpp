#include "store/watcher_lease.h"

#include "common/error.h"

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

// Fraction of the lifetime of a lease in which its holder acts; the remainder allows for clock drift.
constexpr double safe_lifetime_fraction = 0.9;

// Spreads the renewals of leases that were acquired at the same time.
constexpr double renewal_jitter = 0.1;

// If the drawn delay is longer, it is drawn again after this time with the count of daemons and the attempt interval
// known by then. The exponential distribution is memoryless, so this does not change the rate of attempts.
constexpr absl::Duration max_schedule_delay = absl::Seconds(2);

// The attempt interval is this fraction of the time without a holder.
constexpr double attempt_interval_fraction = 0.1;

constexpr absl::Duration first_renewal_retry = absl::Milliseconds(500);

} // namespace

std::string watcher_lease_key(const std::string& data_center, int number) {
    return fmt::format("seat/{}/{}", data_center, number);
}

watcher_lease::watcher_lease(watcher_lease_settings settings, absl::Time now)
    : m_settings(std::move(settings)), m_chart(state_chart::embedded("watcher_lease")), m_state(m_chart.initial()),
      m_budget(m_settings.budget_calls, m_settings.budget_refill, now), m_settled_at(now + m_settings.settle_time),
      m_no_holder_since(now), m_renewal_backoff(first_renewal_retry, m_settings.ttl / 3) {}

void watcher_lease::on_holder_silent(int candidates, absl::Time now, absl::BitGenRef random) {
    m_candidates = candidates;
    if (m_state != "idle") {
        return;
    }
    fire("holder_silent");
    m_no_holder_since = now;
    schedule_attempt(now, random);
}

void watcher_lease::on_holder_seen() {
    if (m_state != "waiting") {
        return;
    }
    fire("holder_seen");
    m_due_at = absl::InfiniteFuture();
}

lease_call watcher_lease::next_call(absl::Time now, absl::BitGenRef random) {
    if (m_state == "holding" && m_is_stopping) {
        return begin_call(lease_call::release, "stopping", now);
    }
    if (m_state == "holding" && now >= m_valid_until) {
        fire("expired");
        m_no_holder_since = now;
        schedule_attempt(now, random);
        return lease_call::none;
    }
    if (now < m_due_at || (m_state != "waiting" && m_state != "holding")) {
        return lease_call::none;
    }
    if (m_state == "waiting" && !m_is_attempt_scheduled) {
        schedule_attempt(now, random);
        return lease_call::none;
    }
    if (!m_budget.try_take(now)) {
        m_due_at = m_budget.available_at(now);
        return lease_call::none;
    }
    return begin_call(m_state == "waiting" ? lease_call::acquire : lease_call::renew, "due", now);
}

void watcher_lease::on_reply(store_outcome outcome, const lease& granted, absl::Time now, absl::BitGenRef random) {
    if (outcome == store_outcome::ok) {
        return on_granted(granted, now, random);
    }
    on_not_granted(outcome == store_outcome::conflict || outcome == store_outcome::absent, now, random);
}

void watcher_lease::stop(absl::Time now) {
    m_is_stopping = true;
    if (m_state == "holding") {
        m_due_at = now;
    } else if (m_state == "idle" || m_state == "waiting") {
        fire("stopping");
        m_due_at = absl::InfiniteFuture();
    }
}

bool watcher_lease::is_held(absl::Time now) const {
    return now < m_valid_until && (m_state == "holding" || m_state == "renewing");
}

absl::Time watcher_lease::next_time() const {
    return m_state == "holding" ? std::min(m_due_at, m_valid_until) : m_due_at;
}

void watcher_lease::fire(const char* event) {
    auto target = m_chart.target(m_state, event);
    if (!target) {
        throw error(result_code::chart_no_transition,
                    fmt::format("watcher lease: event {} in state {}", event, m_state));
    }
    m_state = std::move(*target);
}

void watcher_lease::schedule_attempt(absl::Time now, absl::BitGenRef random) {
    const int candidates = now < m_settled_at ? std::max(m_candidates, m_settings.min_candidates) : m_candidates;
    const absl::Duration mean = attempt_interval(now) * std::max(candidates, 1);
    const absl::Duration delay = mean * absl::Exponential<double>(random, 1.0);
    m_is_attempt_scheduled = delay <= max_schedule_delay;
    m_due_at = now + std::min(delay, max_schedule_delay);
}

absl::Duration watcher_lease::attempt_interval(absl::Time now) const {
    return std::clamp((now - m_no_holder_since) * attempt_interval_fraction, m_settings.min_attempt_interval,
                      m_settings.max_attempt_interval);
}

lease_call watcher_lease::begin_call(lease_call call, const char* event, absl::Time now) {
    fire(event);
    m_sent_at = now;
    m_due_at = absl::InfiniteFuture();
    return call;
}

void watcher_lease::on_granted(const lease& granted, absl::Time now, absl::BitGenRef random) {
    fire("granted");
    if (m_state == "stopped") {
        m_valid_until = absl::InfinitePast();
        return;
    }
    m_lease = granted;
    // The store counts the lifetime from the receipt of the call, which is later than the sending.
    m_valid_until = m_sent_at + m_settings.ttl * safe_lifetime_fraction;
    m_renewal_backoff.reset();
    const double jitter = absl::Uniform<double>(random, 1.0 - renewal_jitter, 1.0 + renewal_jitter);
    m_due_at = m_is_stopping ? now : m_sent_at + m_settings.ttl / 3 * jitter;
}

void watcher_lease::on_not_granted(bool is_refused, absl::Time now, absl::BitGenRef random) {
    fire(is_refused ? "refused" : "failed");
    if (m_state == "holding") {
        m_due_at = now + m_renewal_backoff.next_delay(random);
        return;
    }
    m_valid_until = absl::InfinitePast();
    if (m_state != "waiting") {
        m_due_at = absl::InfiniteFuture();
        return;
    }
    if (m_is_stopping) {
        return stop(now);
    }
    schedule_attempt(now, random);
}

} // namespace amaranthladder
