#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Parameters of latency_average; docs/routing.md gives the reasons.
struct latency_average_policy {
    double weight_up = 0.2;                        ///< Weight of a sample above the average.
    double weight_down = 0.05;                     ///< Weight of a sample below the average.
    absl::Duration idle_decay = absl::Seconds(10); ///< Time without samples after which the average has decayed to 1/e.
};

/// Moving average of an upstream's latency. Slow responses weigh more, so that a slowdown shows after few requests.
class latency_average {
public:
    explicit latency_average(latency_average_policy policy = {});

    void observe(absl::Duration sample, absl::Time now);

    /// @return the average; zero before the first sample. It decays while there are no samples, so that an upstream
    ///         that was avoided is tried again.
    absl::Duration value(absl::Time now) const;

    bool has_samples() const {
        return m_updated != absl::InfinitePast();
    }

private:
    latency_average_policy m_policy;
    absl::Duration m_value;
    absl::Time m_updated = absl::InfinitePast();
};

} // namespace amaranthladder
