#include "routing/picker.h"

#include <absl/random/distributions.h>
#include <absl/random/uniform_real_distribution.h>

namespace amaranthladder {

namespace {

/// @return the index of a random candidate, drawn in proportion to the weights from the candidates with this
///         @p is_local except @p excluded; nothing if there is none.
std::optional<std::size_t> draw_weighted(std::span<const pick_candidate> candidates, bool is_local,
                                         std::optional<std::size_t> excluded, absl::BitGenRef rng) {
    const auto is_eligible = [&](std::size_t index) {
        return candidates[index].is_local == is_local && index != excluded;
    };
    double total = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        total += is_eligible(index) ? candidates[index].weight : 0;
    }
    double remaining = total > 0 ? absl::uniform_real_distribution<double>(0, total)(rng) : 0;
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!is_eligible(index)) {
            continue;
        }
        last = index;
        remaining -= candidates[index].weight;
        if (remaining < 0) {
            break;
        }
    }
    return last;
}

/// @return the candidate of lower cost out of two random ones; nothing if there is none.
std::optional<pick_result> cheaper_of_two(std::span<const pick_candidate> candidates,
                                          absl::FunctionRef<void(std::size_t)> estimate, bool is_local,
                                          absl::BitGenRef rng) {
    const auto first = draw_weighted(candidates, is_local, std::nullopt, rng);
    if (!first) {
        return std::nullopt;
    }
    estimate(*first);
    const auto second = draw_weighted(candidates, is_local, first, rng);
    if (!second) {
        return pick_result{*first, std::nullopt, choice_reason::only_candidate};
    }
    estimate(*second);
    if (candidates[*second].cost < candidates[*first].cost) {
        return pick_result{*second, first, choice_reason::lower_cost};
    }
    return pick_result{*first, second, choice_reason::lower_cost};
}

} // namespace

picker::picker(picker_policy policy, data_center_policy data_centers)
    : m_policy(policy), m_data_centers(data_centers) {}

pick_result picker::pick(std::span<const pick_candidate> candidates, absl::FunctionRef<void(std::size_t)> estimate,
                         absl::BitGenRef rng, data_center_question question) const {
    const auto local = cheaper_of_two(candidates, estimate, true, rng);
    const auto remote = cheaper_of_two(candidates, estimate, false, rng);
    if (!local || !remote) {
        return local ? *local : *remote;
    }
    const pick_candidate& local_best = candidates[local->chosen];
    const pick_candidate& remote_best = candidates[remote->chosen];
    if (local_best.expected_latency > absl::ZeroDuration() && remote_best.expected_latency > absl::ZeroDuration()) {
        question.at_home = local_best.expected_latency;
        question.elsewhere = remote_best.expected_latency;
        question.elsewhere_age = remote_best.report_age;
        const double probability = m_data_centers.leave_probability(question);
        if (probability > 0 && absl::Bernoulli(rng, probability)) {
            return {remote->chosen, local->chosen, choice_reason::spilled_over, probability};
        }
        pick_result result = *local;
        result.leave_probability = probability;
        return result;
    }
    const bool is_local_overloaded = local_best.load >= m_policy.spillover_load && remote_best.load < local_best.load &&
                                     remote_best.cost < local_best.cost;
    if (is_local_overloaded || local_best.cost > remote_best.cost * m_policy.spillover_cost_ratio) {
        return {remote->chosen, local->chosen, choice_reason::spilled_over};
    }
    return *local;
}

} // namespace amaranthladder
