#include "moves/private/route_evaluator.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

constexpr absl::Duration medium_half_life = absl::Seconds(30);
constexpr absl::Duration short_half_life = absl::Seconds(2);
constexpr absl::Duration long_half_life = absl::Minutes(10);
constexpr absl::Duration rate_half_life = absl::Seconds(10);

// Prior: a version without history is treated as if it had answered this many calls, so its first calls weigh less.
constexpr double prior_calls = 30;

// The old version's calls are kept this long, to compare a suspected fault with the calls before and after it.
constexpr absl::Duration period_retention = absl::Minutes(12);
constexpr std::size_t max_periods = 1024;

// A version is degraded above this multiple of the usual rate of bad calls (clamped to these limits), or above this
// multiple of the usual median latency. With fewer old calls than this neither version counts as degraded; with fewer
// new calls than this the old version decides alone.
constexpr double degraded_rate_min = 0.05;
constexpr double degraded_rate_max = 0.30;
constexpr double degraded_rate_factor = 2.5;
constexpr double degraded_median_factor = 1.6;
constexpr double degraded_old_calls = 10;
constexpr double degraded_new_calls = 3;

// Odds of 100 to 1 that the old version is healthy confirm a fault of the new one; odds of 20 to 1 against refute it.
constexpr double log_odds_confirmed = 4.6;
constexpr double log_odds_refuted = -3.0;

// Calls of the old version needed to check whether it is slow too. With the higher number, slowness that is neither
// confirmed nor refuted counts as refuted.
constexpr double slow_confirm_calls = 10;
constexpr double slow_confirm_calls_enough = 40;
constexpr double slow_confirm_z_score = 2.5;

double bad_calls(const call_count_delta& delta, result_code reason) {
    return reason == result_code::move_taken_back_refusals ? delta.refused : delta.failed;
}

} // namespace

void decayed_calls::decay(absl::Time now, absl::Duration half_life) {
    if (counted_at != absl::InfinitePast() && now > counted_at) {
        const double decay_factor = std::exp2(-absl::FDivDuration(now - counted_at, half_life));
        good *= decay_factor;
        failed *= decay_factor;
        refused *= decay_factor;
        latency.scale(decay_factor);
    }
    counted_at = std::max(counted_at, now);
}

void decayed_calls::add(const call_count_delta& delta, double weight) {
    good += weight * delta.good;
    failed += weight * delta.failed;
    refused += weight * delta.refused;
    latency.add(delta.latency, weight);
}

route_evaluator::route_evaluator(const move_policy& policy) : m_policy(policy), m_slowness(policy) {}

void route_evaluator::add(const call_count_delta& delta, absl::Time now) {
    if (delta.calls() <= 0) {
        return;
    }
    totals& total = delta.side == move_side::new_version ? m_new_total : m_old_total;
    total.good += delta.good;
    total.failed += delta.failed;
    total.refused += delta.refused;
    total.latency.add(delta.latency);
    // The first row that a restarted daemon receives covers an unknown period, so it says nothing about current
    // behaviour.
    const bool has_known_start = delta.from != absl::InfinitePast();
    const auto weight = [&](absl::Duration half_life) {
        const absl::Duration age = std::max(absl::ZeroDuration(), now - delta.until);
        return has_known_start || half_life > short_half_life ? std::exp2(-absl::FDivDuration(age, half_life)) : 0.0;
    };
    if (has_known_start) {
        m_first_call = std::min(m_first_call, delta.from);
        m_rate.decay(now, rate_half_life);
        m_rate.add(delta, 1);
        m_slowness.add(delta.side, delta.latency, now);
    }
    if (delta.side == move_side::old_version) {
        m_old_medium.decay(now, medium_half_life);
        m_old_medium.add(delta, weight(medium_half_life));
        m_old_short.decay(now, short_half_life);
        m_old_short.add(delta, weight(short_half_life));
        m_old_long.decay(now, long_half_life);
        m_old_long.add(delta, weight(long_half_life));
        add_old_period(delta, now);
        return;
    }
    m_new_short.decay(now, short_half_life);
    m_new_short.add(delta, weight(short_half_life));
    // Failures and refusals are tested separately, each against all other calls.
    m_failures.add(delta.good + delta.refused, delta.failed, base_rate(m_old_medium.failed), delta.until);
    m_refusals.add(delta.good + delta.failed, delta.refused, base_rate(m_old_medium.refused), delta.until);
}

double route_evaluator::base_rate(double bad) const {
    return m_policy.base_rate_factor * (bad + 1) / (m_old_medium.calls() + prior_calls) + m_policy.base_rate_floor;
}

void route_evaluator::add_old_period(const call_count_delta& delta, absl::Time now) {
    m_old_periods.push_back(delta);
    while (m_old_periods.size() > max_periods || m_old_periods.front().until < now - period_retention) {
        m_old_periods.pop_front();
    }
}

void route_evaluator::tick(bool is_old_idle, absl::Time now) {
    m_slowness.close_stratum(now, is_old_idle ? &m_old_long.latency : nullptr);
}

void route_evaluator::tick_without_old_version(absl::Time now) {
    m_slowness.close_stratum(now, &m_new_before_stage);
}

suspected_fault route_evaluator::strongest_fault() const {
    suspected_fault result{result_code::move_taken_back_failures, m_failures.change_point(),
                           m_failures.rate_since_change(), m_failures.threshold_ratio(m_policy.log_false_alarm_odds)};
    const double refusals = m_refusals.threshold_ratio(m_policy.log_false_alarm_odds);
    if (refusals > result.threshold_ratio) {
        result = {result_code::move_taken_back_refusals, m_refusals.change_point(), m_refusals.rate_since_change(),
                  refusals};
    }
    const double slowness = m_slowness.threshold_ratio();
    if (slowness > result.threshold_ratio) {
        result = {result_code::move_taken_back_slow, absl::InfiniteFuture(), 0, slowness};
    }
    return result;
}

bool route_evaluator::allows_growth() const {
    return m_failures.threshold_ratio(m_policy.log_false_alarm_odds) < m_policy.suspicion_ratio &&
           m_refusals.threshold_ratio(m_policy.log_false_alarm_odds) < m_policy.suspicion_ratio &&
           m_slowness.allows_growth();
}

confirmation route_evaluator::check(const suspected_fault& fault, absl::Time since) const {
    return fault.reason == result_code::move_taken_back_slow ? check_slowness(fault, since) : check_bad_rate(fault);
}

confirmation route_evaluator::check_bad_rate(const suspected_fault& fault) const {
    // Calls of the old version from before the fault give the expected rate of bad calls. Calls that overlap its start
    // must not exceed that rate. Calls from after its start decide.
    const absl::Time overlap_start = fault.started_at - m_policy.confirmation_margin - m_policy.publish_interval;
    const absl::Time after_start = fault.started_at + m_policy.confirmation_margin;
    double before_calls = prior_calls;
    double before_bad = 1;
    double overlap_calls = 0;
    double overlap_bad = 0;
    double after_good = 0;
    double after_bad = 0;
    for (const call_count_delta& period : m_old_periods) {
        const double bad = bad_calls(period, fault.reason);
        if (period.until < overlap_start) {
            before_calls += period.calls();
            before_bad += bad;
            continue;
        }
        overlap_calls += period.calls();
        overlap_bad += bad;
        if (period.from >= after_start) {
            after_good += period.calls() - bad;
            after_bad += bad;
        }
    }
    const double expected_rate =
        std::min(0.9, m_policy.base_rate_factor * before_bad / before_calls + m_policy.base_rate_floor);
    const double expected_bad = expected_rate * overlap_calls;
    const double faulty_rate = std::clamp(fault.bad_rate / 2, std::min(0.94, 2 * expected_rate), 0.95);
    const auto log_odds_healthy = [&](double good, double bad) {
        return good * std::log((1 - expected_rate) / (1 - faulty_rate)) + bad * std::log(expected_rate / faulty_rate);
    };
    const bool was_elevated = overlap_bad > expected_bad + 3 * std::sqrt(expected_bad + 1) + 1 ||
                              log_odds_healthy(overlap_calls - overlap_bad, overlap_bad) <= log_odds_refuted;
    const double log_odds = log_odds_healthy(after_good, after_bad);
    if (was_elevated || log_odds <= log_odds_refuted) {
        return confirmation::refuted;
    }
    return log_odds >= log_odds_confirmed ? confirmation::confirmed : confirmation::undecided;
}

confirmation route_evaluator::check_slowness(const suspected_fault& /*fault*/, absl::Time since) const {
    latency_histogram overlap;
    latency_histogram after;
    const absl::Duration window = std::min(m_slowness.half_life(), absl::Minutes(5));
    for (const call_count_delta& period : m_old_periods) {
        if (period.until >= since - window && period.from < since) {
            overlap.add(period.latency);
        }
        if (period.from >= since + m_policy.confirmation_margin) {
            after.add(period.latency);
        }
    }
    if (after.total() < slow_confirm_calls) {
        return confirmation::undecided;
    }
    const latency_histogram& new_latency = m_slowness.latencies();
    const double ratio = new_latency.median_us() / std::max(1.0, after.median_us());
    const bool was_slow_too = overlap.total() >= slow_confirm_calls &&
                              new_latency.median_us() < m_policy.growth_blocking_slow_ratio * overlap.median_us();
    if (ratio < m_policy.growth_blocking_slow_ratio || was_slow_too) {
        return confirmation::refuted;
    }
    if (ratio >= m_policy.slow_ratio * 0.93 && compare_ranks(new_latency, after).z_score() >= slow_confirm_z_score) {
        return confirmation::confirmed;
    }
    return after.total() >= slow_confirm_calls_enough ? confirmation::refuted : confirmation::undecided;
}

void route_evaluator::reset_after_false_alarm() {
    m_failures.reset();
    m_refusals.reset();
    m_slowness.reset();
    m_failures.raise_threshold();
    m_refusals.raise_threshold();
    m_slowness.raise_threshold();
}

bool route_evaluator::are_both_versions_degraded(absl::Time now) const {
    decayed_calls old_now = m_old_short;
    decayed_calls new_now = m_new_short;
    old_now.decay(now, short_half_life);
    new_now.decay(now, short_half_life);
    if (old_now.calls() < degraded_old_calls) {
        return false;
    }
    const double rate = std::clamp(degraded_rate_factor * m_old_long.bad_rate(), degraded_rate_min, degraded_rate_max);
    const double median = degraded_median_factor * m_old_long.latency.median_us();
    const bool is_old_failing = old_now.bad_rate() > rate;
    const bool is_old_slow = old_now.latency.total() >= degraded_old_calls && old_now.latency.median_us() > median;
    if (new_now.calls() < degraded_new_calls) {
        return is_old_failing || is_old_slow;
    }
    return (is_old_failing && new_now.bad_rate() > rate) || (is_old_slow && new_now.latency.median_us() > median);
}

call_summary route_evaluator::summary(move_side side) const {
    const totals& total = side_totals(side);
    return {static_cast<std::uint64_t>(total.good + total.failed + total.refused),
            static_cast<std::uint64_t>(total.failed), static_cast<std::uint64_t>(total.refused),
            static_cast<std::uint64_t>(total.latency.median_us())};
}

double route_evaluator::calls(move_side side) const {
    const totals& total = side_totals(side);
    return total.good + total.failed + total.refused;
}

double route_evaluator::call_rate(absl::Time now) const {
    if (m_first_call > now) {
        return 0;
    }
    decayed_calls recent = m_rate;
    recent.decay(now, rate_half_life);
    // Sum of the decay weights over the elapsed time, which may be shorter than the half-life.
    const double elapsed = std::max(1.0, absl::ToDoubleSeconds(now - m_first_call));
    const double half_life = absl::ToDoubleSeconds(rate_half_life);
    const double weight = half_life / std::log(2.0) * (1 - std::exp2(-elapsed / half_life));
    return recent.calls() / weight;
}

} // namespace amaranthladder
