#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace amaranthladder {

/// Parameters of link_meter.
struct link_meter_policy {
    absl::Duration window = absl::Milliseconds(300);    ///< Shorter ones show single bodies, longer ones miss bursts.
    absl::Duration resolution = absl::Milliseconds(30); ///< Smallest interval between two remembered counts.
};

/// Measures the utilisation of a host's link from a counter of the bytes that were moved over it.
class link_meter {
public:
    /// @param megabits_per_second speed of the link; zero or less: unknown.
    explicit link_meter(double megabits_per_second, link_meter_policy policy = {});

    /// Records the count. Call it before each utilisation(), and at intervals below the window.
    /// @param total bytes moved so far in both directions.
    void observe(std::uint64_t total, absl::Time now);

    /// @return bytes per second over the window up to the last observe().
    double bytes_per_second() const;

    /// @return fraction of the link that is in use, which buffering may raise above 1; nothing if its speed is unknown.
    std::optional<double> utilisation() const;

    double megabits_per_second() const {
        return m_megabits_per_second;
    }

private:
    struct count {
        absl::Time at;
        std::uint64_t total;
    };

    double m_megabits_per_second;
    link_meter_policy m_policy;
    std::deque<count> m_counts; ///< By time; the first one is as old as the window or the last one older than it.
    count m_latest{absl::InfinitePast(), 0};
};

} // namespace amaranthladder
