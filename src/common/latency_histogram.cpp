#include "common/latency_histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthladder {

namespace {

namespace bh = boost::histogram;

constexpr double lowest_us = 1;
constexpr double highest_us = 1e8;
constexpr unsigned class_count = 480;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using counts = decltype(bh::make_histogram_with(std::vector<std::uint64_t>(), log_axis()));

} // namespace

struct latency_histogram::data {
    counts classes =
        bh::make_histogram_with(std::vector<std::uint64_t>(), log_axis(class_count, lowest_us, highest_us));
    std::uint64_t count = 0;
    absl::Duration sum;
};

latency_histogram::latency_histogram() : m_data(std::make_unique<data>()) {}

latency_histogram::~latency_histogram() = default;

latency_histogram::latency_histogram(const latency_histogram& other) : m_data(std::make_unique<data>(*other.m_data)) {}

latency_histogram& latency_histogram::operator=(const latency_histogram& other) {
    if (this != &other) {
        *m_data = *other.m_data;
    }
    return *this;
}

void latency_histogram::add(absl::Duration latency) {
    m_data->classes(std::clamp(absl::ToDoubleMicroseconds(latency), lowest_us, highest_us / 2));
    ++m_data->count;
    m_data->sum += latency;
}

void latency_histogram::merge(const latency_histogram& other) {
    m_data->classes += other.m_data->classes;
    m_data->count += other.m_data->count;
    m_data->sum += other.m_data->sum;
}

std::uint64_t latency_histogram::count() const {
    return m_data->count;
}

absl::Duration latency_histogram::quantile(double share) const {
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(m_data->count)));
    std::uint64_t seen = 0;
    for (auto&& one_class : bh::indexed(m_data->classes)) {
        seen += *one_class;
        if (m_data->count > 0 && seen >= std::max<std::uint64_t>(wanted, 1)) {
            return absl::Microseconds(one_class.bin().upper());
        }
    }
    return absl::ZeroDuration();
}

std::vector<std::uint64_t> latency_histogram::cumulative(const std::vector<absl::Duration>& bounds) const {
    std::vector<std::uint64_t> result(bounds.size(), 0);
    for (auto&& one_class : bh::indexed(m_data->classes)) {
        const absl::Duration upper = absl::Microseconds(one_class.bin().upper());
        for (std::size_t index = 0; index < bounds.size(); ++index) {
            if (upper <= bounds[index]) {
                result[index] += *one_class;
            }
        }
    }
    return result;
}

absl::Duration latency_histogram::sum() const {
    return m_data->sum;
}

} // namespace amaranthladder
