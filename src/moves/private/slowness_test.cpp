#include "moves/private/slowness_test.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

// Half-lives of the sums. The last one keeps everything, for services with few calls.
constexpr std::array<double, 5> half_life_seconds{1.5, 8, 60, 600, 1e9};

// A stratum is as short as its calls allow: at least one second (the exchange interval of the evidence), four calls of
// the new version and eight of the old one.
constexpr absl::Duration stratum_min = absl::Seconds(1);
constexpr double stratum_new_calls = 4;
constexpr double stratum_old_calls = 8;

// Without calls of the old version a stratum of this size is compared with the reference.
constexpr absl::Duration reference_stratum_min = absl::Seconds(1);

constexpr double log_step_after_refutation = 2;

} // namespace

void slowness_test::add(move_side side, const std::vector<std::uint32_t>& counts, absl::Time now) {
    (side == move_side::new_version ? m_open_new : m_open_old).add(counts);
    m_open_since = std::min(m_open_since, now);
}

void slowness_test::close_stratum(absl::Time now, const latency_counts* reference) {
    if (m_open_new.total() < stratum_new_calls || now - m_open_since < stratum_min) {
        return;
    }
    const latency_counts* old_calls = &m_open_old;
    if (m_open_old.total() < stratum_old_calls) {
        if (reference == nullptr || reference->total() < stratum_old_calls ||
            now - m_open_since < reference_stratum_min) {
            return;
        }
        old_calls = reference;
    }
    const rank_comparison compared = compare_ranks(m_open_new, *old_calls);
    const double seconds = m_closed_at == absl::InfinitePast() ? 0 : absl::ToDoubleSeconds(now - m_closed_at);
    for (std::size_t index = 0; index < scale_count; ++index) {
        sums& scale = m_scales[index];
        const double kept = std::exp2(-seconds / half_life_seconds[index]);
        scale.excess = kept * scale.excess + compared.excess;
        scale.variance = kept * kept * scale.variance + compared.variance;
        scale.new_calls.scale(kept);
        scale.new_calls.add(m_open_new);
        scale.old_calls.scale(kept);
        scale.old_calls.add(*old_calls, m_open_new.total() / old_calls->total());
    }
    m_closed_at = now;
    m_looks += 1;
    m_open_new.clear();
    m_open_old.clear();
    m_open_since = absl::InfiniteFuture();
}

void slowness_test::reset() {
    m_scales = {};
    m_open_new.clear();
    m_open_old.clear();
    m_open_since = absl::InfiniteFuture();
}

double slowness_test::sums::score() const {
    return rank_comparison{excess, variance}.score();
}

double slowness_test::sums::ratio() const {
    const double old_median = old_calls.median_us();
    return old_median > 0 ? new_calls.median_us() / old_median : 0;
}

double slowness_test::evidence(const sums& scale) const {
    if (scale.new_calls.total() < m_policy.slow_min_calls || scale.ratio() < m_policy.slow_ratio) {
        return 0;
    }
    const double odds = m_policy.log_false_alarm + std::log1p(m_looks) + log_step_after_refutation * m_refuted;
    return std::max(0.0, scale.score()) / std::sqrt(2 * odds);
}

double slowness_test::evidence() const {
    return evidence(strongest());
}

bool slowness_test::allows_growth() const {
    const double limit = std::sqrt(2 * m_policy.log_false_alarm);
    return std::ranges::none_of(m_scales, [&](const sums& scale) {
        return scale.new_calls.total() >= m_policy.slow_min_calls && scale.ratio() >= m_policy.slow_ratio_growth &&
               scale.score() >= m_policy.suspicion * limit;
    });
}

absl::Duration slowness_test::window() const {
    const auto index = static_cast<std::size_t>(&strongest() - m_scales.data());
    return absl::Seconds(half_life_seconds.at(index));
}

const slowness_test::sums& slowness_test::strongest() const {
    return *std::ranges::max_element(m_scales, {}, [&](const sums& scale) { return evidence(scale); });
}

} // namespace amaranthladder
