#include "moves/private/latency_histogram.h"

#include <absl/time/time.h>

#include <cmath>

namespace amaranthladder {

void latency_histogram::add(const latency_histogram& other, double weight) {
    for (std::size_t index = 0; index < m_counts.size(); ++index) {
        m_counts[index] += weight * other.m_counts[index];
    }
    m_total += weight * other.m_total;
}

void latency_histogram::add(const std::vector<std::uint32_t>& counts, double weight) {
    for (std::size_t index = 0; index < counts.size() && index < m_counts.size(); ++index) {
        m_counts[index] += weight * counts[index];
        m_total += weight * counts[index];
    }
}

void latency_histogram::scale(double factor) {
    for (double& count : m_counts) {
        count *= factor;
    }
    m_total *= factor;
}

void latency_histogram::clear() {
    m_counts.fill(0);
    m_total = 0;
}

double latency_histogram::median_us() const {
    double below = 0;
    for (std::size_t index = 0; index < m_counts.size(); ++index) {
        const double count = m_counts[index];
        if (count > 0 && below + count >= m_total / 2) {
            const double part = (m_total / 2 - below) / count;
            const double middle =
                absl::ToDoubleMicroseconds(move_call_counts::bucket_midpoint(static_cast<int>(index)));
            return middle * std::exp2((part - 0.5) / 2);
        }
        below += count;
    }
    return 0;
}

double rank_comparison::z_score() const {
    return variance > 0 ? excess / std::sqrt(variance) : 0;
}

rank_comparison compare_ranks(const latency_histogram& sample, const latency_histogram& reference) {
    const double sample_size = sample.total();
    const double reference_size = reference.total();
    const double all = sample_size + reference_size;
    if (sample_size <= 0 || reference_size <= 0 || all < 2) {
        return {};
    }
    double wins = 0;
    double ties = 0;
    double below = 0;
    for (int index = 0; index < move_call_counts::latency_bucket_count; ++index) {
        wins += sample.at(index) * (below + reference.at(index) / 2);
        below += reference.at(index);
        const double tied = sample.at(index) + reference.at(index);
        ties += std::max(0.0, tied * tied * tied - tied);
    }
    const double variance = sample_size * reference_size / 12 * (all + 1 - ties / (all * (all - 1)));
    return {(wins - sample_size * reference_size / 2) / (all + 1), std::max(0.0, variance) / ((all + 1) * (all + 1))};
}

} // namespace amaranthladder
