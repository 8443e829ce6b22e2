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

void priority_balance::on_started(int priority, absl::Duration work, absl::Time now) {
    decayed(priority, now).work_s += absl::ToDoubleSeconds(work);
}

bool priority_balance::is_short(absl::Time now) const {
    return std::ranges::any_of(m_counts, [&](const counts& one) { return now - one.refused_at <= refusal_validity; });
}

double priority_balance::more_urgent_share(int priority, absl::Time now) const {
    double all = 0;
    double more_urgent = 0;
    for (const counts& one : m_counts) {
        const double work = one.work_s * decay(one, now);
        all += work;
        more_urgent += one.priority < priority ? work : 0;
    }
    return all > 0 ? more_urgent / all : 0;
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

double priority_balance::decay(const counts& of, absl::Time now) {
    return std::exp(-absl::FDivDuration(now - of.updated_at, count_decay));
}

priority_balance::counts& priority_balance::decayed(int priority, absl::Time now) {
    const auto place = std::ranges::lower_bound(m_counts, priority, {}, &counts::priority);
    if (place == m_counts.end() || place->priority != priority) {
        counts made;
        made.priority = priority;
        made.updated_at = now;
        return *m_counts.insert(place, made);
    }
    const double kept = decay(*place, now);
    place->offered *= kept;
    place->refused *= kept;
    place->work_s *= kept;
    place->updated_at = now;
    return *place;
}

} // namespace amaranthladder
