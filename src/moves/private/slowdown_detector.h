#pragma once

#include "moves/move_policy.h"
#include "moves/private/latency_histogram.h"

#include <absl/time/time.h>

#include <array>

namespace amaranthladder {

/// Stratified Mann-Whitney test of the new version's latencies against the old version's.
///
/// Latencies are compared only with those of the same short period (a stratum), and the results of the strata are added
/// up (van Elteren), so trouble that slows both versions does not count against the new one, whatever its share was at
/// that time. Sums with several half-lives find late faults quickly and small effects eventually.
class slowdown_detector {
public:
    explicit slowdown_detector(const move_policy& policy) : m_policy(policy) {}

    /// Counts good calls.
    /// @param side their version.
    /// @param counts calls by latency class.
    /// @param now present time.
    void add(move_side side, const std::vector<std::uint32_t>& counts, absl::Time now);

    /// Judges the open stratum when it is large enough.
    /// @param now present time.
    /// @param reference latencies to use while the old version has no calls; null if there are none.
    void close_stratum(absl::Time now, const latency_histogram* reference);

    /// Forgets all evidence, but not the number of looks and false alarms.
    void reset();

    void raise_threshold() {
        m_false_alarms += 1;
    }

    /// @return the evidence as a part of the threshold: at 1 the test has decided.
    double threshold_ratio() const;

    /// @return true if the new version is not clearly slower, so that a stage may be left.
    bool allows_growth() const;

    /// @return the new version's latencies behind the strongest evidence.
    const latency_histogram& latencies() const {
        return strongest().new_calls;
    }

    /// @return half-life of the strongest evidence.
    absl::Duration half_life() const;

private:
    struct strata_sums {
        double excess = 0;
        double variance = 0;
        latency_histogram new_calls;
        latency_histogram old_calls; ///< Each stratum weighted to as many calls as the new version had.

        double z_score() const;
        double ratio() const;
    };

    static constexpr std::size_t half_life_count = 5;

    double threshold_ratio(const strata_sums& sum) const;
    const strata_sums& strongest() const;

    move_policy m_policy;
    std::array<strata_sums, half_life_count> m_sums;
    latency_histogram m_open_new;
    latency_histogram m_open_old;
    absl::Time m_open_since = absl::InfiniteFuture();
    absl::Time m_closed_at = absl::InfinitePast();
    double m_looks = 0;
    double m_false_alarms = 0;
};

} // namespace amaranthladder
