#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Parameters of warm_up; docs/routing.md gives the reasons.
struct warm_up_policy {
    absl::Duration period = absl::Seconds(10);
    double initial_weight = 0.1;
};

/// Ramps up an upstream that has started or was reinstated: its weight grows linearly to 1 (slow start).
class warm_up {
public:
    explicit warm_up(warm_up_policy policy = {});

    /// @param since when the warm-up started; absl::InfinitePast() if the upstream needs none.
    /// @param now current time.
    /// @return a weight above 0 and at most 1.
    double weight(absl::Time since, absl::Time now) const;

private:
    warm_up_policy m_policy;
};

} // namespace amaranthladder
