#include "moves/private/failure_rate_detector.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

// Each false alarm raises the threshold by this much, so that a noisy service cannot block its move forever.
constexpr double log_odds_per_false_alarm = 2;

} // namespace

void failure_rate_detector::add(double good, double bad, double base_rate, absl::Time until) {
    if (good + bad <= 0) {
        return;
    }
    m_calls += good + bad;
    const double base = std::clamp(base_rate, 1e-4, 0.94);
    const std::array<double, 3> rates{std::min(0.95, std::max(0.10, 3 * base)),
                                      std::max(0.40, std::min(0.95, 2 * base)), 0.95};
    for (std::size_t index = 0; index < rates.size(); ++index) {
        alternative& candidate = m_alternatives[index];
        const double gain = bad * std::log(rates[index] / base) + good * std::log((1 - rates[index]) / (1 - base));
        const double before = candidate.log_ratio;
        candidate.log_ratio = std::max(0.0, before + gain);
        if (candidate.log_ratio <= 0) {
            candidate = {};
            continue;
        }
        if (before <= 0) {
            candidate.start = until;
        }
        candidate.calls += good + bad;
        candidate.bad += bad;
    }
}

void failure_rate_detector::reset() {
    m_alternatives = {};
}

double failure_rate_detector::threshold_ratio(double log_false_alarm_odds) const {
    // Corrects for multiple tests: three alternatives, and one possible change point per call.
    const double threshold =
        log_false_alarm_odds + std::log(3.0) + std::log1p(m_calls) + log_odds_per_false_alarm * m_false_alarms;
    return strongest().log_ratio / threshold;
}

double failure_rate_detector::rate_since_change() const {
    const alternative& current = strongest();
    return current.calls > 0 ? current.bad / current.calls : 0;
}

const failure_rate_detector::alternative& failure_rate_detector::strongest() const {
    return *std::ranges::max_element(m_alternatives, {}, &alternative::log_ratio);
}

} // namespace amaranthladder
