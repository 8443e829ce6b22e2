#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace amaranthladder {

/// A histogram of durations with logarithmic buckets, about 4% wide, from 1 microsecond to 100 seconds.
class duration_histogram {
public:
    duration_histogram();
    ~duration_histogram();
    duration_histogram(const duration_histogram& other);
    duration_histogram& operator=(const duration_histogram& other);

    void add(absl::Duration duration);

    /// Adds the counts of @p other.
    void merge(const duration_histogram& other);

    /// @return the number of durations added.
    std::uint64_t count() const;

    /// @param fraction from 0 to 1; 0.99 for the 99th percentile.
    /// @return the upper bound of the bucket that holds the quantile; zero if the histogram is empty.
    absl::Duration quantile(double fraction) const;

    /// @param bounds ascending upper bounds.
    /// @return the number of durations up to each bound, as in a Prometheus histogram.
    std::vector<std::uint64_t> cumulative_counts(const std::vector<absl::Duration>& bounds) const;

    /// @return the sum of all durations.
    absl::Duration sum() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace amaranthladder
