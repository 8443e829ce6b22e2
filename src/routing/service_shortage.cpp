#include "routing/service_shortage.h"

#include <absl/random/uniform_real_distribution.h>

#include <algorithm>
#include <cmath>

namespace amaranthladder {

namespace {

/// Age at which a request counts 1/e: longer than requests take, so that those under way matter little, and short
/// enough to follow a loss of capacity within seconds.
constexpr absl::Duration count_decay = absl::Seconds(3);
/// Without a refusal by an upstream for this long, there is no shortage: admitted requests find places. While there is
/// one, the excess of probe_ratio leads to refusals more often than this.
constexpr absl::Duration shortage_validity = absl::Seconds(3);
/// Requests that are admitted for each that upstreams ran. The excess finds capacity that returns; it grows by a fifth
/// in each count_decay until nothing is refused.
constexpr double probe_ratio = 1.2;
/// Unserved requests that are tolerated before any is refused at once: single refusals are no shortage.
constexpr double tolerated = 4;
/// Part of the requests that is refused at most, so that some always probe.
constexpr double max_refused_share = 0.95;
/// Less urgent requests are refused this much more often than the urgent ones are not served.
constexpr double less_urgent_factor = 2;
/// Unserved requests of a more urgent kind below this share are chance.
constexpr double min_unserved_share = 0.05;
/// A request that was refused before is refused with this part of the probability of a new one.
constexpr double returned_factor = 0.25;
/// A report says what is free for so long: with 20 requests a second and upstream, the queue changes in this time.
constexpr absl::Duration report_validity = absl::Milliseconds(250);
/// The same for a report of a free slot: an upstream with an empty queue takes longer to fill.
constexpr absl::Duration free_slot_validity = absl::Seconds(1);
/// Requests that are admitted for a report of a free slot, so that admission grows several times within a service time
/// when capacity returns. A report of a wait that fits the target shows one place.
constexpr int places_without_wait = 4;
/// Multiple of the mean service time that must remain to the target, as in slot_limiter_policy::target_margin.
constexpr double target_margin = 1.25;
/// Lower limit of Retry-After, as for other refusals.
constexpr absl::Duration min_retry_after = absl::Milliseconds(40);
/// Callers wait for a third of their time left at most.
constexpr double max_wait_fraction = 1.0 / 3;
/// Part of the slack that a caller may wait and still be served by its target: the rest is for the queue.
constexpr double max_slack_fraction = 0.6;

} // namespace

shortage_decision service_shortage::admit(const shortage_request& request, absl::Time now, absl::BitGenRef random) {
    const auto found = m_services.find(request.service);
    if (request.is_nested || found == m_services.end()) {
        return {};
    }
    service_state& service = found->second;
    kind_state& kind = decayed(service, request, now);
    shortage_decision decision;
    decision.refused_share = refused_share(service, kind, now) * (request.has_returned ? returned_factor : 1);
    if (absl::uniform_real_distribution<double>(0, 1)(random) >= decision.refused_share ||
        use_report_in_time(service, kind, request, now)) {
        return decision;
    }
    kind.offered += 1;
    decision.is_refused = true;
    decision.retry_after = retry_after(service, kind, request, now, random);
    return decision;
}

void service_shortage::on_served(const shortage_request& request, absl::Time now) {
    kind_state& kind = decayed(m_services[request.service], request, now);
    kind.offered += 1;
    kind.served += 1;
}

void service_shortage::on_refused(const shortage_request& request, absl::Time now) {
    kind_state& kind = decayed(m_services[request.service], request, now);
    kind.offered += 1;
    kind.refused_at = now;
}

void service_shortage::on_report(const shortage_request& request, const std::string& upstream, absl::Duration wait,
                                 absl::Duration service_time, absl::Time now) {
    service_state& service = m_services[request.service];
    if (service_time > absl::ZeroDuration()) {
        decayed(service, request, now).service_time = service_time;
    }
    auto known = std::ranges::find(service.reports, upstream, &wait_report::upstream);
    if (known == service.reports.end()) { // Expired reports make room, since upstreams come and go.
        known = std::ranges::find_if(
            service.reports, [&](const wait_report& report) { return now - report.reported_at > shortage_validity; });
    }
    wait_report& report = known == service.reports.end() ? service.reports.emplace_back() : *known;
    report = {upstream, request.priority, wait, now, wait == absl::ZeroDuration() ? places_without_wait : 1};
}

bool service_shortage::is_short(const shortage_request& request, absl::Time now) const {
    const auto found = m_services.find(request.service);
    return found != m_services.end() && std::ranges::any_of(found->second.kinds, [&](const kind_state& kind) {
               return kind.kind == request.kind && kind.priority == request.priority && is_short(kind, now);
           });
}

bool service_shortage::is_short(const kind_state& kind, absl::Time now) {
    return now - kind.refused_at <= shortage_validity && kind.offered > probe_ratio * kind.served + tolerated;
}

service_shortage::kind_state& service_shortage::decayed(service_state& service, const shortage_request& request,
                                                        absl::Time now) {
    auto found = std::ranges::find_if(service.kinds, [&](const kind_state& kind) {
        return kind.priority == request.priority && kind.kind == request.kind;
    });
    if (found == service.kinds.end()) {
        kind_state made;
        made.kind = request.kind;
        made.priority = request.priority;
        made.updated_at = now;
        found = service.kinds.insert(service.kinds.end(), made);
    }
    const double kept = std::exp(-absl::FDivDuration(now - found->updated_at, count_decay));
    found->offered *= kept;
    found->served *= kept;
    found->updated_at = now;
    return *found;
}

double service_shortage::refused_share(const service_state& service, const kind_state& kind, absl::Time now) {
    double share = 0;
    if (is_short(kind, now)) {
        share = (kind.offered - probe_ratio * kind.served - tolerated) / (kind.offered + 1);
    }
    for (const kind_state& other : service.kinds) {
        if (other.priority < kind.priority && is_short(other, now) && other.unserved_share() > min_unserved_share) {
            share = std::max(share, less_urgent_factor * other.unserved_share());
        }
    }
    return std::min(share, max_refused_share);
}

bool service_shortage::use_report_in_time(service_state& service, const kind_state& kind,
                                          const shortage_request& request, absl::Time now) {
    const auto usable = std::ranges::find_if(service.reports, [&](const wait_report& report) {
        const absl::Duration age = now - report.reported_at;
        const bool is_slot_free = report.wait == absl::ZeroDuration(); // Then the priority does not matter.
        return report.places > 0 && (is_slot_free || report.priority >= request.priority) &&
               age <= (is_slot_free ? free_slot_validity : report_validity) &&
               report.wait + (is_slot_free ? absl::ZeroDuration() : age) + target_margin * kind.service_time <=
                   request.time_to_target;
    });
    if (usable == service.reports.end()) {
        return false;
    }
    --usable->places;
    return true;
}

absl::Duration service_shortage::retry_after(const service_state& service, const kind_state& kind,
                                             const shortage_request& request, absl::Time now, absl::BitGenRef random) {
    absl::Duration shortest_wait = absl::InfiniteDuration();
    for (const wait_report& report : service.reports) {
        if (now - report.reported_at <= shortage_validity && report.priority >= request.priority) {
            shortest_wait = std::min(shortest_wait, report.wait);
        }
    }
    const absl::Duration slack = request.time_to_target - target_margin * kind.service_time;
    absl::Duration latest = std::min(request.time_left * max_wait_fraction, absl::Seconds(1));
    if (slack * max_slack_fraction > min_retry_after) {
        latest = std::min(latest, slack * max_slack_fraction);
    }
    const absl::Duration earliest = std::max(min_retry_after, std::min(shortest_wait, latest / 2));
    return std::max(min_retry_after,
                    earliest + (latest - earliest) * absl::uniform_real_distribution<double>(0, 1)(random));
}

} // namespace amaranthladder
