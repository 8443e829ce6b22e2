#include "moves/private/latency_counts.h"

#include <absl/time/time.h>

#include <cmath>

namespace amaranthladder {

void latency_counts::add(const latency_counts& other, double weight) {
    for (std::size_t index = 0; index < m_counts.size(); ++index) {
        m_counts[index] += weight * other.m_counts[index];
    }
    m_total += weight * other.m_total;
}

void latency_counts::add(const std::vector<std::uint32_t>& counts, double weight) {
    for (std::size_t index = 0; index < counts.size() && index < m_counts.size(); ++index) {
        m_counts[index] += weight * counts[index];
        m_total += weight * counts[index];
    }
}

void latency_counts::scale(double factor) {
    for (double& count : m_counts) {
        count *= factor;
    }
    m_total *= factor;
}

void latency_counts::clear() {
    m_counts.fill(0);
    m_total = 0;
}

double latency_counts::median_us() const {
    double below = 0;
    for (std::size_t index = 0; index < m_counts.size(); ++index) {
        const double count = m_counts[index];
        if (count > 0 && below + count >= m_total / 2) {
            const double part = (m_total / 2 - below) / count;
            const double middle = absl::ToDoubleMicroseconds(move_evidence::class_middle(static_cast<int>(index)));
            return middle * std::exp2((part - 0.5) / 2);
        }
        below += count;
    }
    return 0;
}

double rank_comparison::score() const {
    return variance > 0 ? excess / std::sqrt(variance) : 0;
}

rank_comparison compare_ranks(const latency_counts& larger, const latency_counts& smaller) {
    const double first = larger.total();
    const double second = smaller.total();
    const double all = first + second;
    if (first <= 0 || second <= 0 || all < 2) {
        return {};
    }
    double wins = 0;
    double ties = 0;
    double below = 0;
    for (int index = 0; index < move_evidence::latency_classes; ++index) {
        wins += larger.at(index) * (below + smaller.at(index) / 2);
        below += smaller.at(index);
        const double tied = larger.at(index) + smaller.at(index);
        ties += std::max(0.0, tied * tied * tied - tied);
    }
    const double variance = first * second / 12 * (all + 1 - ties / (all * (all - 1)));
    return {(wins - first * second / 2) / (all + 1), std::max(0.0, variance) / ((all + 1) * (all + 1))};
}

} // namespace amaranthladder
