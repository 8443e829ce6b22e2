#include "routing/picker.h"

#include <absl/random/uniform_real_distribution.h>

namespace amaranthladder {

namespace {

/// @return a position chosen with a chance proportional to the weight, among the candidates with @p is_local and other
///         than @p excluded; nothing if there is none.
std::optional<std::size_t> draw(std::span<const pick_candidate> candidates, bool is_local,
                                std::optional<std::size_t> excluded, absl::BitGenRef rng) {
    const auto takes_part = [&](std::size_t index) {
        return candidates[index].is_local == is_local && index != excluded;
    };
    double total = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        total += takes_part(index) ? candidates[index].weight : 0;
    }
    double left = total > 0 ? absl::uniform_real_distribution<double>(0, total)(rng) : 0;
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!takes_part(index)) {
            continue;
        }
        last = index;
        left -= candidates[index].weight;
        if (left < 0) {
            break;
        }
    }
    return last;
}

/// @return the cheaper of two candidates, nothing if there is none.
std::optional<pick_result> cheaper_of_two(std::span<const pick_candidate> candidates, bool is_local,
                                          absl::BitGenRef rng) {
    const auto first = draw(candidates, is_local, std::nullopt, rng);
    if (!first) {
        return std::nullopt;
    }
    const auto second = draw(candidates, is_local, first, rng);
    if (!second) {
        return pick_result{*first, std::nullopt, choice_reason::only_candidate};
    }
    if (candidates[*second].cost < candidates[*first].cost) {
        return pick_result{*second, first, choice_reason::lower_cost};
    }
    return pick_result{*first, second, choice_reason::lower_cost};
}

} // namespace

picker::picker(picker_policy policy) : m_policy(policy) {}

pick_result picker::pick(std::span<const pick_candidate> candidates, absl::BitGenRef rng,
                         absl::Duration local_limit) const {
    const auto local = cheaper_of_two(candidates, true, rng);
    const auto remote = cheaper_of_two(candidates, false, rng);
    if (!local || !remote) {
        return local ? *local : *remote;
    }
    const pick_candidate& near = candidates[local->chosen];
    const pick_candidate& far = candidates[remote->chosen];
    if (local_limit > absl::ZeroDuration() && near.expected > absl::ZeroDuration() &&
        far.expected > absl::ZeroDuration()) {
        if (near.expected <= local_limit || near.expected <= far.expected) {
            return *local;
        }
        return {remote->chosen, local->chosen, choice_reason::spilled_over};
    }
    const bool is_full = near.load >= m_policy.spill_load && far.load < near.load && far.cost < near.cost;
    if (is_full || near.cost > far.cost * m_policy.spill_ratio) {
        return {remote->chosen, local->chosen, choice_reason::spilled_over};
    }
    return *local;
}

} // namespace amaranthladder
