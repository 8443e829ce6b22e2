#include "routing/routing_decision.h"

#include <fmt/format.h>

#include <iterator>

namespace amaranthladder {

std::string_view name(choice_reason value) {
    switch (value) {
    case choice_reason::none:
        return "none";
    case choice_reason::only_candidate:
        return "only-candidate";
    case choice_reason::lower_cost:
        return "lower-cost";
    case choice_reason::spilled_over:
        return "spilled-over";
    case choice_reason::probe:
        return "probe";
    case choice_reason::ejection_ignored:
        return "ejection-ignored";
    }
    return "unknown";
}

namespace {

std::string format_candidate(std::string_view key, const std::optional<candidate_info>& candidate) {
    if (!candidate) {
        return {};
    }
    std::string text =
        fmt::format(" {}={} {}_cost={:.6f} {}_in_flight={} {}_latency_ms={:.3f}", key, candidate->id, key,
                    candidate->cost, key, candidate->in_flight, key, absl::ToDoubleMilliseconds(candidate->latency));
    if (candidate->expected() > absl::ZeroDuration()) {
        fmt::format_to(
            std::back_inserter(text),
            " {}_work_ms={:.1f} {}_queue_ms={:.1f} {}_transfer_ms={:.1f} {}_excess_ms={:.1f} {}_speed={:.2f} "
            "{}_link={:.2f}",
            key, absl::ToDoubleMilliseconds(candidate->parts.work), key,
            absl::ToDoubleMilliseconds(candidate->parts.queue), key,
            absl::ToDoubleMilliseconds(candidate->parts.transfer), key, absl::ToDoubleMilliseconds(candidate->excess),
            key, candidate->work_factor, key, candidate->link_utilisation);
    }
    return text;
}

} // namespace

std::string to_log_line(const routing_decision& decision) {
    if (decision.is_refused()) {
        return fmt::format("route={} service={} candidates={} refused={} code={}", decision.route, decision.service,
                           decision.candidate_count, name(decision.refusal), static_cast<int>(decision.refusal));
    }
    return fmt::format("route={} service={} version={} candidates={} reason={} leave={:.2f} owner={}{}{}",
                       decision.route, decision.service, decision.version, decision.candidate_count,
                       name(decision.reason), decision.leave_probability, to_string(decision.owner),
                       format_candidate("chosen", decision.chosen), format_candidate("compared", decision.compared));
}

} // namespace amaranthladder
