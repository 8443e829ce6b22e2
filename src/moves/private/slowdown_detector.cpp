#include "moves/private/slowdown_detector.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

// Half-lives of the sums in seconds, after move_policy::shortest_half_life. The last one keeps everything, for services
// with few calls.
constexpr std::array<double, 4> longer_half_lives{8, 60, 600, 1e9};

// Minimum size of a stratum. Strata are kept short, so that their calls saw the same conditions; their minimum duration
// (move_policy::stratum_min) follows the exchange of call counts between daemons.
constexpr double stratum_new_calls = 4;
constexpr double stratum_old_calls = 8;

// Each false alarm raises the logarithm of the required odds by this much.
constexpr double log_odds_per_false_alarm = 2;

} // namespace

void slowdown_detector::add(move_side side, const std::vector<std::uint32_t>& counts, absl::Time now) {
    (side == move_side::new_version ? m_open_new : m_open_old).add(counts);
    m_open_since = std::min(m_open_since, now);
}

void slowdown_detector::close_stratum(absl::Time now, const latency_histogram* reference) {
    if (m_open_new.total() < stratum_new_calls || now - m_open_since < m_policy.stratum_min) {
        return;
    }
    const latency_histogram* old_calls = &m_open_old;
    if (m_open_old.total() < stratum_old_calls) {
        if (reference == nullptr || reference->total() < stratum_old_calls) {
            return;
        }
        old_calls = reference;
    }
    const rank_comparison comparison = compare_ranks(m_open_new, *old_calls);
    const double seconds = m_last_closed_at == absl::InfinitePast() ? 0 : absl::ToDoubleSeconds(now - m_last_closed_at);
    for (std::size_t index = 0; index < half_life_count; ++index) {
        strata_sums& sum = m_sums[index];
        const double decay_factor = std::exp2(-seconds / half_life_seconds(index));
        sum.excess = decay_factor * sum.excess + comparison.excess;
        sum.variance = decay_factor * decay_factor * sum.variance + comparison.variance;
        sum.new_calls.scale(decay_factor);
        sum.new_calls.add(m_open_new);
        sum.old_calls.scale(decay_factor);
        sum.old_calls.add(*old_calls, m_open_new.total() / old_calls->total());
    }
    m_last_closed_at = now;
    m_looks += 1;
    m_open_new.clear();
    m_open_old.clear();
    m_open_since = absl::InfiniteFuture();
}

void slowdown_detector::reset() {
    m_sums = {};
    m_open_new.clear();
    m_open_old.clear();
    m_open_since = absl::InfiniteFuture();
}

double slowdown_detector::strata_sums::z_score() const {
    return rank_comparison{excess, variance}.z_score();
}

double slowdown_detector::strata_sums::ratio() const {
    const double old_median = old_calls.median_us();
    return old_median > 0 ? new_calls.median_us() / old_median : 0;
}

double slowdown_detector::threshold_ratio(const strata_sums& sum) const {
    if (sum.new_calls.total() < m_policy.slow_min_calls || sum.ratio() < m_policy.slow_ratio) {
        return 0;
    }
    const double odds = m_policy.log_false_alarm_odds + std::log1p(m_looks) + log_odds_per_false_alarm * m_false_alarms;
    return std::max(0.0, sum.z_score()) / std::sqrt(2 * odds);
}

double slowdown_detector::threshold_ratio() const {
    return threshold_ratio(strongest());
}

bool slowdown_detector::allows_growth() const {
    const double limit = std::sqrt(2 * m_policy.log_false_alarm_odds);
    return std::ranges::none_of(m_sums, [&](const strata_sums& sum) {
        return sum.new_calls.total() >= m_policy.slow_min_calls && sum.ratio() >= m_policy.growth_blocking_slow_ratio &&
               sum.z_score() >= m_policy.suspicion_ratio * limit;
    });
}

double slowdown_detector::half_life_seconds(std::size_t index) const {
    return index == 0 ? absl::ToDoubleSeconds(m_policy.shortest_half_life) : longer_half_lives.at(index - 1);
}

absl::Duration slowdown_detector::half_life() const {
    const auto index = static_cast<std::size_t>(&strongest() - m_sums.data());
    return absl::Seconds(half_life_seconds(index));
}

const slowdown_detector::strata_sums& slowdown_detector::strongest() const {
    return *std::ranges::max_element(m_sums, {}, [&](const strata_sums& sum) { return threshold_ratio(sum); });
}

} // namespace amaranthladder
