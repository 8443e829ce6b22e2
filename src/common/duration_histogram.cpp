#include "common/duration_histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthladder {

namespace {

namespace bh = boost::histogram;

constexpr double min_us = 1;
constexpr double max_us = 1e8;
constexpr unsigned bucket_count = 480;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram_with(std::vector<std::uint64_t>(), log_axis()));

} // namespace

struct duration_histogram::data {
    histogram buckets = bh::make_histogram_with(std::vector<std::uint64_t>(), log_axis(bucket_count, min_us, max_us));
    std::uint64_t count = 0;
    absl::Duration sum;
};

duration_histogram::duration_histogram() : m_data(std::make_unique<data>()) {}

duration_histogram::~duration_histogram() = default;

duration_histogram::duration_histogram(const duration_histogram& other)
    : m_data(std::make_unique<data>(*other.m_data)) {}

duration_histogram& duration_histogram::operator=(const duration_histogram& other) {
    if (this != &other) {
        *m_data = *other.m_data;
    }
    return *this;
}

void duration_histogram::add(absl::Duration duration) {
    m_data->buckets(std::clamp(absl::ToDoubleMicroseconds(duration), min_us, max_us / 2));
    ++m_data->count;
    m_data->sum += duration;
}

void duration_histogram::merge(const duration_histogram& other) {
    m_data->buckets += other.m_data->buckets;
    m_data->count += other.m_data->count;
    m_data->sum += other.m_data->sum;
}

std::uint64_t duration_histogram::count() const {
    return m_data->count;
}

absl::Duration duration_histogram::quantile(double fraction) const {
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_data->count)));
    std::uint64_t seen = 0;
    for (auto&& bucket : bh::indexed(m_data->buckets)) {
        seen += *bucket;
        if (m_data->count > 0 && seen >= std::max<std::uint64_t>(rank, 1)) {
            return absl::Microseconds(bucket.bin().upper());
        }
    }
    return absl::ZeroDuration();
}

std::vector<std::uint64_t> duration_histogram::cumulative_counts(const std::vector<absl::Duration>& bounds) const {
    std::vector<std::uint64_t> result(bounds.size(), 0);
    for (auto&& bucket : bh::indexed(m_data->buckets)) {
        const absl::Duration upper = absl::Microseconds(bucket.bin().upper());
        for (std::size_t index = 0; index < bounds.size(); ++index) {
            if (upper <= bounds[index]) {
                result[index] += *bucket;
            }
        }
    }
    return result;
}

absl::Duration duration_histogram::sum() const {
    return m_data->sum;
}

} // namespace amaranthladder
