#pragma once

#include "moves/move_record.h"

#include <array>
#include <vector>

namespace amaranthladder {

/// Weighted counts by the latency classes of move_call_counts.
class latency_histogram {
public:
    /// Adds @p other, each count times @p weight.
    void add(const latency_histogram& other, double weight = 1.0);
    void add(const std::vector<std::uint32_t>& counts, double weight = 1.0);
    void scale(double factor);
    void clear();

    double total() const {
        return m_total;
    }

    /// @return the median in microseconds, interpolated within its class; 0 without calls.
    double median_us() const;

    double at(int bucket) const {
        return m_counts[static_cast<std::size_t>(bucket)];
    }

private:
    std::array<double, move_call_counts::latency_bucket_count> m_counts{};
    double m_total = 0;
};

/// The Mann-Whitney statistic of two samples, centred, in the form that a stratified test adds up.
struct rank_comparison {
    double excess = 0;   ///< (U - nm/2) / (N + 1); positive if the first sample is larger.
    double variance = 0; ///< Its variance if both samples have one distribution, corrected for ties.

    /// @return the standard normal score.
    double z_score() const;
};

/// @return how far @p sample ranks above @p reference.
rank_comparison compare_ranks(const latency_histogram& sample, const latency_histogram& reference);

} // namespace amaranthladder
