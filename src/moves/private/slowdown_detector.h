#pragma once

#include "moves/move_policy.h"
#include "moves/private/latency_histogram.h"

#include <absl/time/time.h>

#include <array>

namespace amaranthladder {

/// Detects a new version that is slower than the old one with a stratified Mann-Whitney test.
///
/// Latencies are compared only with those of the same short period (a stratum), and the results of the strata are added
/// up (van Elteren test). A cause that slows both versions therefore does not count against the new one, whatever its
/// share was at that time. Sums with short half-lives find late faults quickly, those with long ones find small
/// effects.
class slowdown_detector {
public:
    explicit slowdown_detector(const move_policy& policy) : m_policy(policy) {}

    /// Counts good calls.
    /// @param side their version.
    /// @param counts calls by latency bucket.
    /// @param now current time.
    void add(move_side side, const std::vector<std::uint32_t>& counts, absl::Time now);

    /// Closes the open stratum and adds its result to the sums if it has enough calls.
    /// @param now current time.
    /// @param reference latencies to compare with if the old version has too few calls; null to wait for its calls.
    void close_stratum(absl::Time now, const latency_histogram* reference);

    /// Restarts the test but keeps the numbers of looks and false alarms.
    void reset();

    /// Raises the threshold after a false alarm.
    void raise_threshold() {
        m_false_alarms += 1;
    }

    /// @return the test statistic divided by its threshold: from 1 on, a fault is detected.
    double threshold_ratio() const;

    /// @return true if the new version is not clearly slower, so its share may grow.
    bool allows_growth() const;

    /// @return ratio of the median latencies (new to old) in the strongest sum.
    double ratio() const {
        return strongest().ratio();
    }

    /// @return the new version's latencies in the strongest sum.
    const latency_histogram& latencies() const {
        return strongest().new_calls;
    }

    /// @return half-life of the strongest sum.
    absl::Duration half_life() const;

private:
    /// Results of the closed strata, decayed with one half-life.
    struct strata_sums {
        double excess = 0;
        double variance = 0;
        latency_histogram new_calls;
        latency_histogram old_calls; ///< Each stratum scaled to the number of new calls in it.

        double z_score() const;
        double ratio() const;
    };

    static constexpr std::size_t half_life_count = 5;

    double half_life_seconds(std::size_t index) const;
    double threshold_ratio(const strata_sums& sum) const;
    const strata_sums& strongest() const;

    move_policy m_policy;
    std::array<strata_sums, half_life_count> m_sums;
    latency_histogram m_open_new;
    latency_histogram m_open_old;
    absl::Time m_open_since = absl::InfiniteFuture();
    absl::Time m_last_closed_at = absl::InfinitePast();
    double m_looks = 0; ///< Strata closed; each is one more chance of a false alarm.
    double m_false_alarms = 0;
};

} // namespace amaranthladder
