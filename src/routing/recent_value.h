#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// A reported quantity that changes quickly. The last report counts less with its age; what replaces it is the mean of
/// the reports over a longer time, not zero: an upstream that was not heard of lately is not idle for that reason.
class recent_value {
public:
    /// @param decay age at which the last report has decayed to 1/e.
    /// @param memory time over which the mean of the reports is formed.
    recent_value(absl::Duration decay, absl::Duration memory) : m_decay(decay), m_memory(memory) {}

    void observe(double value, absl::Time now);

    /// @param prior what the mean decays to if there are no reports for longer than the memory.
    /// @return the estimate at @p now; @p prior without any report.
    double value(absl::Time now, double prior = 0) const;

    /// @return what the last report differs from the mean, decayed with its age.
    double deviation(absl::Time now) const;

    /// @return the mean over the memory; zero without any report.
    double mean() const {
        return m_mean;
    }

    bool has_value() const {
        return m_updated != absl::InfinitePast();
    }

    /// @return time since the last report.
    absl::Duration age(absl::Time now) const {
        return now - m_updated;
    }

private:
    absl::Duration m_decay;
    absl::Duration m_memory;
    double m_last = 0;
    double m_mean = 0;
    absl::Time m_updated = absl::InfinitePast();
    absl::Time m_first = absl::InfinitePast();
};

} // namespace amaranthladder
