#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Constants of latency_average; docs/routing.md gives the reasons.
struct latency_average_policy {
    double weight_up = 0.2;                        ///< Weight of a sample above the average.
    double weight_down = 0.05;                     ///< Weight of a sample below the average.
    absl::Duration idle_decay = absl::Seconds(10); ///< Time without samples in which the average falls to 1/e.
};

/// Recent latency of one upstream, with slow answers weighted up, so that a slowdown shows after few requests.
class latency_average {
public:
    explicit latency_average(latency_average_policy policy = {});

    /// Adds one sample.
    void observe(absl::Duration sample, absl::Time now);

    /// @return the average, falling while no sample arrives, so that an avoided upstream is tried again; zero before
    ///         the first sample.
    absl::Duration value(absl::Time now) const;

    /// @return true if observe was called.
    bool has_samples() const {
        return m_updated != absl::InfinitePast();
    }

private:
    latency_average_policy m_policy;
    absl::Duration m_value;
    absl::Time m_updated = absl::InfinitePast();
};

} // namespace amaranthladder
