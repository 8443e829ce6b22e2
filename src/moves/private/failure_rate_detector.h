#pragma once

#include <absl/time/time.h>

#include <array>

namespace amaranthladder {

/// Detects a failure rate above a base rate with a sequential likelihood ratio test. The test restarts when its log
/// ratio falls to zero (CUSUM), so it finds late faults as quickly as early ones. Three alternative rates are tested in
/// parallel: 10% (or three times the base rate), 40% (or twice the base rate), and 95%.
class failure_rate_detector {
public:
    /// Counts calls to the new version.
    /// @param good calls without the outcome under test.
    /// @param bad calls with it.
    /// @param base_rate highest rate of @p bad that counts as healthy.
    /// @param until time of the last call.
    void add(double good, double bad, double base_rate, absl::Time until);

    /// Restarts the test but keeps the numbers of calls and false alarms.
    void reset();

    /// Raises the threshold after a false alarm.
    void raise_threshold() {
        m_false_alarms += 1;
    }

    /// @param log_false_alarm_odds natural logarithm of the odds against a false alarm.
    /// @return the test statistic divided by its threshold: from 1 on, a fault is detected.
    double threshold_ratio(double log_false_alarm_odds) const;

    /// @return estimated start of the fault: the end of the first batch since the test last restarted.
    absl::Time change_point() const {
        return strongest().start;
    }

    /// @return rate of bad calls since change_point().
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
