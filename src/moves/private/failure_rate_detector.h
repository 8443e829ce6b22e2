#pragma once

#include <absl/time/time.h>

#include <array>

namespace amaranthladder {

/// Sequential likelihood ratio test for a failure rate above a base rate, restarted whenever the evidence for a fault
/// is used up (CUSUM), so that a late fault is found as quickly as an early one. Three alternatives run side by side:
/// a rate of a tenth (or three times the base rate), four tenths, and nearly all calls.
class failure_rate_detector {
public:
    /// Counts calls of the new version.
    /// @param good calls without the outcome under test.
    /// @param bad calls with it.
    /// @param base_rate largest rate of @p bad that counts as healthy.
    /// @param until time of the last call.
    void add(double good, double bad, double base_rate, absl::Time until);

    /// Forgets all evidence, but not the number of calls and false alarms.
    void reset();

    /// Raises the threshold after a suspicion that was refuted.
    void raise_threshold() {
        m_false_alarms += 1;
    }

    /// @param log_false_alarm_odds logarithm of the odds against a false alarm.
    /// @return the evidence as a part of the threshold: at 1 the test has decided.
    double threshold_ratio(double log_false_alarm_odds) const;

    /// @return end of the first batch of the present run of evidence.
    absl::Time change_point() const {
        return strongest().start;
    }

    /// @return rate of bad calls since started_at.
    double rate_since_change() const;

private:
    struct alternative {
        double log_ratio = 0;
        double calls = 0;
        double bad = 0;
        absl::Time start = absl::InfiniteFuture();
    };

    const alternative& strongest() const;

    std::array<alternative, 3> m_alternatives;
    double m_calls = 0;
    double m_false_alarms = 0;
};

} // namespace amaranthladder
