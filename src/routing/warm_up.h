#pragma once

#include <absl/time/time.h>

namespace amaranthladder {

/// Constants of warm_up; docs/routing.md gives the reasons.
struct warm_up_policy {
    absl::Duration period = absl::Seconds(10);
    double initial_weight = 0.1;
};

/// Weight of an upstream that has just started or returned: it grows linearly to 1.
class warm_up {
public:
    explicit warm_up(warm_up_policy policy = {});

    /// @param since when the upstream started to take requests; absl::InfinitePast() for a warm one.
    /// @return a weight above 0 and at most 1.
    double weight(absl::Time since, absl::Time now) const;

private:
    warm_up_policy m_policy;
};

} // namespace amaranthladder
