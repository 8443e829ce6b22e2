#include "routing/data_center_choice.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

constexpr double bytes_per_megabyte = 1e6;

} // namespace

double data_center_choice::leave_probability(const data_center_question& question) const {
    const absl::Duration price = std::max(m_policy.min_gain, question.elsewhere * m_policy.min_relative_gain) +
                                 m_policy.wait_per_megabyte * (std::max(question.bytes, 0.0) / bytes_per_megabyte);
    const absl::Duration gain = question.at_home - question.elsewhere - price;
    if (gain <= absl::ZeroDuration()) {
        return 0;
    }
    const absl::Duration target = question.time_to_target == absl::InfiniteDuration()
                                      ? question.elsewhere * m_policy.assumed_target
                                      : question.time_to_target;
    const auto avoided_risk = [&](absl::Duration left) {
        return miss_risk(question.at_home, left) - miss_risk(question.elsewhere, left);
    };
    // A request that misses its target in any case may still meet its deadline.
    const double benefit = std::max({avoided_risk(target), avoided_risk(question.time_to_deadline), 0.0});
    const double saved = absl::FDivDuration(gain, question.at_home);
    const double age = absl::FDivDuration(question.elsewhere_age, m_policy.trusted_age);
    const double trust = std::max(m_policy.min_trust, std::exp(-std::max(age, 0.0)));
    return std::clamp(benefit * std::min(1.0, saved * m_policy.urgency) * trust, 0.0, 1.0);
}

double data_center_choice::miss_risk(absl::Duration expected, absl::Duration left) const {
    if (left == absl::InfiniteDuration()) {
        return 0;
    }
    if (left <= absl::ZeroDuration()) {
        return 1;
    }
    const double used = absl::FDivDuration(expected, left);
    return std::clamp((used - m_policy.safe_fraction) / (m_policy.late_fraction - m_policy.safe_fraction), 0.0, 1.0);
}

} // namespace amaranthladder
