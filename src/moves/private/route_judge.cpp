#include "moves/private/route_judge.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

constexpr absl::Duration recent_half_life = absl::Seconds(30);
constexpr absl::Duration short_half_life = absl::Seconds(2);
constexpr absl::Duration usual_half_life = absl::Minutes(10);
constexpr absl::Duration rate_half_life = absl::Seconds(10);

// Calls that a version without history is assumed to have answered well, so that its first calls do not decide alone.
constexpr double prior_calls = 30;

// Kept so that a suspicion can be compared with the old version's calls before and after it.
constexpr absl::Duration periods_kept = absl::Minutes(12);
constexpr std::size_t max_periods = 1024;

// Trouble of a version: this rate of bad calls, or this multiple of its usual rate, or of its usual median.
constexpr double trouble_rate_min = 0.05;
constexpr double trouble_rate_max = 0.30;
constexpr double trouble_rate_factor = 2.5;
constexpr double trouble_median_factor = 1.6;
constexpr double trouble_old_calls = 10;
constexpr double trouble_new_calls = 3;

// Odds of 100 to 1 that the old version is healthy confirm a suspicion, odds of 20 to 1 against it refute it.
constexpr double log_odds_confirmed = 4.6;
constexpr double log_odds_refuted = -3.0;

// Calls of the old version that decide whether it is slow too: the second number decides even between the two ratios.
constexpr double slow_confirm_calls = 10;
constexpr double slow_confirm_calls_enough = 40;
constexpr double slow_confirm_score = 2.5;

double bad_calls(const evidence_delta& delta, result_code reason) {
    return reason == result_code::move_taken_back_refusals ? delta.refused : delta.failed;
}

} // namespace

void decayed_calls::decay(absl::Time now, absl::Duration half_life) {
    if (counted_at != absl::InfinitePast() && now > counted_at) {
        const double kept = std::exp2(-absl::FDivDuration(now - counted_at, half_life));
        good *= kept;
        failed *= kept;
        refused *= kept;
        latency.scale(kept);
    }
    counted_at = std::max(counted_at, now);
}

void decayed_calls::add(const evidence_delta& delta, double weight) {
    good += weight * delta.good;
    failed += weight * delta.failed;
    refused += weight * delta.refused;
    latency.add(delta.latency, weight);
}

route_judge::route_judge(const move_policy& policy) : m_policy(policy), m_slowness(policy) {}

void route_judge::add(const evidence_delta& delta, absl::Time now) {
    if (delta.calls() <= 0) {
        return;
    }
    totals& total = delta.side == move_side::new_version ? m_new_total : m_old_total;
    total.good += delta.good;
    total.failed += delta.failed;
    total.refused += delta.refused;
    total.latency.add(delta.latency);
    // A count of unknown duration, which is what a restarted daemon hears first, says nothing about the present.
    const bool is_timed = delta.from != absl::InfinitePast();
    const auto weight = [&](absl::Duration half_life) {
        const absl::Duration age = std::max(absl::ZeroDuration(), now - delta.until);
        return is_timed || half_life > short_half_life ? std::exp2(-absl::FDivDuration(age, half_life)) : 0.0;
    };
    if (is_timed) {
        m_first_call = std::min(m_first_call, delta.from);
        m_rate.decay(now, rate_half_life);
        m_rate.add(delta, 1);
        m_slowness.add(delta.side, delta.latency, now);
    }
    if (delta.side == move_side::old_version) {
        m_old_recent.decay(now, recent_half_life);
        m_old_recent.add(delta, weight(recent_half_life));
        m_old_short.decay(now, short_half_life);
        m_old_short.add(delta, weight(short_half_life));
        m_old_usual.decay(now, usual_half_life);
        m_old_usual.add(delta, weight(usual_half_life));
        remember_old(delta, now);
        return;
    }
    m_new_short.decay(now, short_half_life);
    m_new_short.add(delta, weight(short_half_life));
    // Failures and refusals are tested apart, each against all other calls.
    m_failures.add(delta.good + delta.refused, delta.failed, base_rate(m_old_recent.failed), delta.until);
    m_refusals.add(delta.good + delta.failed, delta.refused, base_rate(m_old_recent.refused), delta.until);
}

double route_judge::base_rate(double bad) const {
    return m_policy.base_rate_factor * (bad + 1) / (m_old_recent.calls() + prior_calls) + m_policy.base_rate_floor;
}

void route_judge::remember_old(const evidence_delta& delta, absl::Time now) {
    m_old_periods.push_back(delta);
    while (m_old_periods.size() > max_periods || m_old_periods.front().until < now - periods_kept) {
        m_old_periods.pop_front();
    }
}

void route_judge::tick(bool is_old_idle, absl::Time now) {
    m_slowness.close_stratum(now, is_old_idle ? &m_old_usual.latency : nullptr);
}

suspicion route_judge::strongest() const {
    suspicion result{result_code::move_taken_back_failures, m_failures.run_start(), m_failures.run_rate(),
                     m_failures.evidence(m_policy.log_false_alarm)};
    const double refusals = m_refusals.evidence(m_policy.log_false_alarm);
    if (refusals > result.evidence) {
        result = {result_code::move_taken_back_refusals, m_refusals.run_start(), m_refusals.run_rate(), refusals};
    }
    const double slowness = m_slowness.evidence();
    if (slowness > result.evidence) {
        result = {result_code::move_taken_back_slow, absl::InfiniteFuture(), 0, slowness};
    }
    return result;
}

bool route_judge::allows_growth() const {
    return m_failures.evidence(m_policy.log_false_alarm) < m_policy.suspicion &&
           m_refusals.evidence(m_policy.log_false_alarm) < m_policy.suspicion && m_slowness.allows_growth();
}

confirmation route_judge::confirm(const suspicion& suspected, absl::Time since) const {
    return suspected.reason == result_code::move_taken_back_slow ? confirm_slow(suspected, since)
                                                                 : confirm_rate(suspected);
}

confirmation route_judge::confirm_rate(const suspicion& suspected) const {
    // The old version's calls before the run say what is usual; those that overlap the run must not be elevated; those
    // that began after it decide.
    const absl::Time overlap_start = suspected.run_start - m_policy.confirmation_margin - m_policy.publish_interval;
    const absl::Time after_start = suspected.run_start + m_policy.confirmation_margin;
    double before_calls = prior_calls;
    double before_bad = 1;
    double overlap_calls = 0;
    double overlap_bad = 0;
    double after_good = 0;
    double after_bad = 0;
    for (const evidence_delta& period : m_old_periods) {
        const double bad = bad_calls(period, suspected.reason);
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
    const double usual =
        std::min(0.9, m_policy.base_rate_factor * before_bad / before_calls + m_policy.base_rate_floor);
    const double expected = usual * overlap_calls;
    const double like_new = std::clamp(suspected.run_rate / 2, std::min(0.94, 2 * usual), 0.95);
    const auto log_odds_healthy = [&](double good, double bad) {
        return good * std::log((1 - usual) / (1 - like_new)) + bad * std::log(usual / like_new);
    };
    const bool was_elevated = overlap_bad > expected + 3 * std::sqrt(expected + 1) + 1 ||
                              log_odds_healthy(overlap_calls - overlap_bad, overlap_bad) <= log_odds_refuted;
    const double log_odds = log_odds_healthy(after_good, after_bad);
    if (was_elevated || log_odds <= log_odds_refuted) {
        return confirmation::refuted;
    }
    return log_odds >= log_odds_confirmed ? confirmation::confirmed : confirmation::open;
}

confirmation route_judge::confirm_slow(const suspicion& /*suspected*/, absl::Time since) const {
    latency_counts overlap;
    latency_counts after;
    const absl::Duration window = std::min(m_slowness.window(), absl::Minutes(5));
    for (const evidence_delta& period : m_old_periods) {
        if (period.until >= since - window && period.from < since) {
            overlap.add(period.latency);
        }
        if (period.from >= since + m_policy.confirmation_margin) {
            after.add(period.latency);
        }
    }
    if (after.total() < slow_confirm_calls) {
        return confirmation::open;
    }
    const latency_counts& suspected_calls = m_slowness.latencies();
    const double ratio = suspected_calls.median_us() / std::max(1.0, after.median_us());
    const bool was_slow_too = overlap.total() >= slow_confirm_calls &&
                              suspected_calls.median_us() < m_policy.slow_ratio_growth * overlap.median_us();
    if (ratio < m_policy.slow_ratio_growth || was_slow_too) {
        return confirmation::refuted;
    }
    if (ratio >= m_policy.slow_ratio * 0.93 && compare_ranks(suspected_calls, after).score() >= slow_confirm_score) {
        return confirmation::confirmed;
    }
    return after.total() >= slow_confirm_calls_enough ? confirmation::refuted : confirmation::open;
}

void route_judge::refute() {
    m_failures.reset();
    m_refusals.reset();
    m_slowness.reset();
    m_failures.raise_threshold();
    m_refusals.raise_threshold();
    m_slowness.raise_threshold();
}

bool route_judge::has_common_trouble(absl::Time now) const {
    decayed_calls old_now = m_old_short;
    decayed_calls new_now = m_new_short;
    old_now.decay(now, short_half_life);
    new_now.decay(now, short_half_life);
    if (old_now.calls() < trouble_old_calls) {
        return false;
    }
    const double rate = std::clamp(trouble_rate_factor * m_old_usual.bad_rate(), trouble_rate_min, trouble_rate_max);
    const double median = trouble_median_factor * m_old_usual.latency.median_us();
    const bool is_old_bad = old_now.bad_rate() > rate;
    const bool is_old_slow = old_now.latency.total() >= trouble_old_calls && old_now.latency.median_us() > median;
    if (new_now.calls() < trouble_new_calls) {
        return is_old_bad || is_old_slow;
    }
    return (is_old_bad && new_now.bad_rate() > rate) || (is_old_slow && new_now.latency.median_us() > median);
}

evidence_summary route_judge::summary(move_side side) const {
    const totals& total = side_totals(side);
    return {static_cast<std::uint64_t>(total.good + total.failed + total.refused),
            static_cast<std::uint64_t>(total.failed), static_cast<std::uint64_t>(total.refused),
            static_cast<std::uint64_t>(total.latency.median_us())};
}

double route_judge::calls(move_side side) const {
    const totals& total = side_totals(side);
    return total.good + total.failed + total.refused;
}

double route_judge::call_rate(absl::Time now) const {
    if (m_first_call > now) {
        return 0;
    }
    decayed_calls recent = m_rate;
    recent.decay(now, rate_half_life);
    // The sum of the weights of a time that has not lasted for many half-lives yet.
    const double elapsed = std::max(1.0, absl::ToDoubleSeconds(now - m_first_call));
    const double half_life = absl::ToDoubleSeconds(rate_half_life);
    const double weight = half_life / std::log(2.0) * (1 - std::exp2(-elapsed / half_life));
    return recent.calls() / weight;
}

} // namespace amaranthladder
