#include "routing/priority_balance.h"

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

/// Age at which an offer counts 1/e: an upstream gets tens of requests in this time, enough to compare shares.
constexpr absl::Duration count_decay = absl::Seconds(3);
/// A refusal shows a disadvantage for this long. It covers the time in which refused callers return.
constexpr absl::Duration refusal_validity = absl::Seconds(1);
/// Differences below this are taken for chance. R-FAIR is tested with 0.05.
constexpr double share_tolerance = 0.02;

} // namespace

void priority_balance::on_offered(int priority, absl::Time now) {
    decayed(priority, now).offered += 1;
}

void priority_balance::on_refused(int priority, absl::Time now) {
    counts& found = decayed(priority, now);
    found.refused = std::min(found.refused + 1, found.offered);
    found.refused_at = now;
}

bool priority_balance::is_disadvantaged(int priority, absl::Time now) const {
    const auto found = std::ranges::find(m_counts, priority, &counts::priority);
    if (found == m_counts.end() || now - found->refused_at > refusal_validity) {
        return false;
    }
    return std::any_of(found + 1, m_counts.end(), [&](const counts& less_urgent) {
        return now - less_urgent.updated_at <= refusal_validity &&
               found->refused_share() > less_urgent.refused_share() + share_tolerance;
    });
}

double priority_balance::refused_share(int priority) const {
    const auto found = std::ranges::find(m_counts, priority, &counts::priority);
    return found == m_counts.end() ? 0 : found->refused_share();
}

priority_balance::counts& priority_balance::decayed(int priority, absl::Time now) {
    const auto place = std::ranges::lower_bound(m_counts, priority, {}, &counts::priority);
    if (place == m_counts.end() || place->priority != priority) {
        counts made;
        made.priority = priority;
        made.updated_at = now;
        return *m_counts.insert(place, made);
    }
    const double kept = std::exp(-absl::FDivDuration(now - place->updated_at, count_decay));
    place->offered *= kept;
    place->refused *= kept;
    place->updated_at = now;
    return *place;
}

} // namespace amaranthladder
