#include "quota/quota_bucket.h"

#include <algorithm>

namespace amaranthladder {

namespace {

/// Keeps the hint for refused callers finite.
constexpr double min_fraction = 0.05;

} // namespace

quota_bucket::quota_bucket(const quota_allowance& allowance, double initial_fraction, absl::Time since, absl::Time now)
    : m_allowance(allowance), m_fraction(std::clamp(initial_fraction, 0.0, 1.0)), m_updated(now),
      m_reserve_updated(std::min(since, now)) {
    const double seconds = std::clamp(absl::ToDoubleSeconds(now - since), 0.0, 60.0);
    m_fraction = std::min(m_fraction, rise_per_second * seconds);
    m_tokens = m_allowance.rate * m_fraction * seconds / 2;
    cap();
}

void quota_bucket::advance(double target, absl::Time now) {
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - m_updated));
    m_updated = std::max(m_updated, now);
    const double risen = std::min(target, m_fraction + rise_per_second * seconds);
    // The lower one, since it is not known when the fraction changed.
    m_tokens += m_allowance.rate * std::min(m_fraction, risen) * seconds;
    m_fraction = risen;
    cap();
}

std::uint32_t quota_bucket::take(std::uint32_t wanted) {
    const auto taken = std::min(wanted, static_cast<std::uint32_t>(std::max(0.0, m_tokens)));
    m_tokens -= taken;
    return taken;
}

std::uint32_t quota_bucket::take_reserve(absl::Time now) {
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - m_reserve_updated));
    m_reserve_updated = std::max(m_reserve_updated, now);
    m_reserve = std::min(m_allowance.reserve_capacity, m_reserve + seconds * m_allowance.reserve_rate);
    if (m_reserve < 1) {
        return 0;
    }
    m_reserve -= 1;
    return 1;
}

void quota_bucket::set_allowance(const quota_allowance& allowance) {
    m_allowance = allowance;
    m_reserve = std::min(m_reserve, m_allowance.reserve_capacity);
    cap();
}

absl::Duration quota_bucket::time_until(double count) const {
    const double rate = m_allowance.rate * std::max(m_fraction, min_fraction);
    return absl::Seconds(std::max(0.0, count - m_tokens) / rate);
}

void quota_bucket::subtract(double count) {
    // A debt of a second at most, so that repeated messages do not stop the tenant.
    m_tokens = std::max(std::min(m_tokens, -m_allowance.rate), m_tokens - count);
}

void quota_bucket::take_over(double fraction, double tokens, absl::Time now) {
    m_fraction = std::max(m_fraction, fraction);
    m_tokens = std::max(m_tokens, 0.0) + tokens;
    m_updated = now;
    cap();
}

void quota_bucket::clear(absl::Time now) {
    m_tokens = 0;
    m_reserve = 0;
    m_fraction = 0;
    m_updated = now;
    m_reserve_updated = now;
}

void quota_bucket::cap() {
    // Below one, no token could ever be taken.
    const double least = m_fraction > 0 ? std::min(1.0, m_allowance.capacity) : 0;
    m_tokens = std::min(m_tokens, std::max(least, m_allowance.capacity * m_fraction));
}

} // namespace amaranthladder
