#pragma once

#include "moves/move_record.h"

#include <array>
#include <vector>

namespace amaranthladder {

/// Histogram of weighted call counts over the latency buckets of move_call_counts.
class latency_histogram {
public:
    /// Adds @p other with each count multiplied by @p weight.
    void add(const latency_histogram& other, double weight = 1.0);
    void add(const std::vector<std::uint32_t>& counts, double weight = 1.0);
    void scale(double factor);
    void clear();

    double total() const {
        return m_total;
    }

    /// @return the median in microseconds, interpolated within its bucket; 0 if the histogram is empty.
    double median_us() const;

    double at(int bucket) const {
        return m_counts[static_cast<std::size_t>(bucket)];
    }

private:
    std::array<double, move_call_counts::latency_bucket_count> m_counts{};
    double m_total = 0;
};

/// The centred Mann-Whitney statistic of two samples, scaled so that a stratified test can add it up.
struct rank_comparison {
    double excess = 0;   ///< (U - nm/2) / (N + 1); positive if the first sample is larger.
    double variance = 0; ///< Variance of excess if both samples have the same distribution, corrected for ties.

    /// @return the standard score (z-score) of excess.
    double z_score() const;
};

/// Compares the ranks of @p sample with those of @p reference; the excess is positive if @p sample is slower.
rank_comparison compare_ranks(const latency_histogram& sample, const latency_histogram& reference);

} // namespace amaranthladder
