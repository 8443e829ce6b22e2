#include "routing/router.h"

#include <absl/random/uniform_real_distribution.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthladder {

namespace {

/// Time for which upstreams that have said that they leave are remembered: longer than they serve after that, and than
/// their delayed announcements are under way.
constexpr absl::Duration leaving_retention = absl::Minutes(2);
/// Lower bound of the slots that a rate limit leaves, so that an upstream keeps getting a few requests and its entries
/// hear when the limit ends.
constexpr double min_usable_slots = 0.1;
/// Cap on the load in an owner_report, in requests per slot; longer queues are not distinguished.
constexpr double owner_report_load_cap = 10;
/// Cap on the work factor in an owner_report and on its inverse.
constexpr double max_reported_work_factor = 8;

bool can_serve(const upstream_record& record, const route& matched_route, const routing_request& request) {
    const bool serves_route =
        record.routes.empty() || std::ranges::find(record.routes, matched_route.name) != record.routes.end();
    return serves_route && std::ranges::find(request.tried_upstreams, record.id) == request.tried_upstreams.end();
}

health_signal health_signal_of(attempt_outcome outcome) {
    if (is_failure(outcome)) {
        return health_signal::failure;
    }
    return outcome == attempt_outcome::answered ? health_signal::success : health_signal::none;
}

const std::string& service_of(const route& matched_route, const routing_request& request) {
    return request.service.empty() ? matched_route.service : request.service;
}

routing_decision make_decision(const route& matched_route, const routing_request& request, result_code code) {
    routing_decision decision;
    decision.route = matched_route.name;
    decision.service = service_of(matched_route, request);
    decision.refusal = code;
    return decision;
}

} // namespace

router::upstream_state::upstream_state(const router_policy& policy)
    : latency(policy.latency), load(policy.reported_load_decay, policy.report_memory),
      log_work_factor(policy.speed_decay, policy.report_memory),
      link_utilisation(policy.link_decay, policy.report_memory), excess(policy.excess) {}

router::router(router_settings settings)
    : m_settings(std::move(settings)), m_warm_up(m_settings.policy.warm_up),
      m_picker(m_settings.policy.picker, m_settings.policy.data_centers),
      m_state(std::make_shared<const intended_state>()) {}

void router::set_configuration(std::shared_ptr<const intended_state> state) {
    m_state = std::move(state);
    m_routes = route_table(m_state);
    absl::erase_if(m_transfer_sizes, [this](const auto& entry) { return !m_state->routes.contains(entry.first); });
}

void router::set_upstreams(const std::vector<upstream_record>& records, absl::Time now) {
    for (const auto& [id, upstream] : m_upstreams) {
        upstream->was_listed = std::exchange(upstream->is_listed, false);
    }
    service_names changed;
    for (const upstream_record& record : records) {
        apply_record(record, changed, now);
    }
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream->was_listed && !upstream->is_listed) {
            changed.insert(upstream->record.service);
        }
    }
    rebuild_groups(changed);
    absl::erase_if(m_upstreams,
                   [](const auto& entry) { return !entry.second->is_listed && entry.second->in_flight == 0; });
}

void router::set_share_overrides(share_overrides overrides) {
    m_overrides = std::move(overrides);
}

route_match router::match(std::string_view host, std::string_view method, std::string_view target) const {
    return m_routes.match(host, method, target);
}

routing_decision router::choose(const route& matched_route, const routing_request& request, absl::Time now,
                                absl::BitGenRef rng) const {
    if (request.deadline <= now) {
        return make_decision(matched_route, request, result_code::deadline_expired);
    }
    const std::vector<weighted_version> versions = weighted_versions(matched_route, request);
    double total = 0;
    for (const weighted_version& version : versions) {
        total += version.weight;
    }
    if (total <= 0) {
        return make_decision(matched_route, request,
                             m_evacuated_services.contains(service_of(matched_route, request))
                                 ? result_code::data_center_evacuated
                                 : result_code::no_upstream);
    }
    double remaining = absl::uniform_real_distribution<double>(0, total)(rng);
    auto version = versions.begin();
    while (version + 1 != versions.end() && remaining >= version->weight) {
        remaining -= version->weight;
        ++version;
    }
    const candidate_set usable = candidates(*version->group, matched_route, request, now);
    std::vector<pick_candidate> pick_candidates = make_pick_candidates(usable.upstreams, now);
    std::optional<report_averages> averages;
    const auto estimate = [&](std::size_t index) {
        estimate_cost(pick_candidates[index], *usable.upstreams[index], usable.upstreams, matched_route.name, averages,
                      now);
    };
    const pick_result picked = m_picker.pick(pick_candidates, estimate, rng, question_of(matched_route, request, now));
    const upstream_state& chosen = *usable.upstreams[picked.chosen];
    routing_decision decision = make_decision(matched_route, request, result_code::ok);
    decision.version = *version->name;
    decision.upstream_id = chosen.record.id;
    decision.owner = chosen.record.owner;
    decision.address = chosen.record.address;
    decision.reason = usable.reason == choice_reason::none ? picked.reason : usable.reason;
    decision.candidate_count = static_cast<int>(usable.upstreams.size());
    decision.leave_probability = picked.leave_probability;
    decision.is_local = is_local(chosen);
    decision.chosen = candidate_info_of(chosen, pick_candidates[picked.chosen], now);
    if (picked.compared) {
        decision.compared =
            candidate_info_of(*usable.upstreams[*picked.compared], pick_candidates[*picked.compared], now);
    }
    return decision;
}

void router::on_started(const std::string& upstream_id, absl::Time now) {
    const auto found = m_upstreams.find(upstream_id);
    if (found == m_upstreams.end()) {
        return;
    }
    if (found->second->in_flight++ == 0) {
        found->second->unanswered_since = now;
    }
    if (outlier_ejector* ejector = ejector_of(*found->second)) {
        ejector->on_probe_started(upstream_id, now);
    }
}

void router::on_finished(const std::string& upstream_id, attempt_outcome outcome, absl::Duration latency,
                         std::optional<double> load, absl::Time now, absl::Duration expected) {
    const auto found = m_upstreams.find(upstream_id);
    if (found == m_upstreams.end()) {
        return;
    }
    upstream_state& upstream = *found->second;
    upstream.in_flight = std::max(upstream.in_flight - 1, 0);
    const bool is_answer = outcome != attempt_outcome::sent_no_answer && outcome != attempt_outcome::cancelled &&
                           outcome != attempt_outcome::connect_failed;
    if (upstream.in_flight == 0) {
        upstream.unanswered_since = absl::InfiniteFuture();
    } else if (is_answer) {
        upstream.unanswered_since = now;
    }
    if (load && std::isfinite(*load)) {
        upstream.reported_load = std::clamp(*load, 0.0, m_settings.policy.max_reported_load);
        upstream.reported_at = now;
    }
    record_outcome(upstream, outcome, latency, now);
    record_excess(upstream, outcome, latency, expected, now);
    if (!upstream.is_listed && upstream.in_flight == 0) {
        m_upstreams.erase(found);
    }
}

int router::in_flight(const std::string& upstream_id) const {
    const auto found = m_upstreams.find(upstream_id);
    return found == m_upstreams.end() ? 0 : found->second->in_flight;
}

bool router::on_leaving(const std::string& upstream_id, absl::Time now) {
    const auto found = m_upstreams.find(upstream_id);
    if (found == m_upstreams.end()) {
        return false;
    }
    absl::erase_if(m_leaving, [now](const auto& entry) { return now - entry.second.said_at > leaving_retention; });
    const upstream_record& record = found->second->record;
    const bool was_staying = !is_leaving(record);
    m_leaving[upstream_id] = {record, now};
    if (was_staying) {
        rebuild_groups({record.service});
    }
    return was_staying;
}

bool router::is_usable(const upstream_record& record) const {
    return !is_leaving(record) && !m_evacuated.contains(record.data_center);
}

bool router::is_leaving(const upstream_record& record) const {
    const auto leaving = m_leaving.find(record.id);
    const bool has_said_leaving = leaving != m_leaving.end() && is_same_start(leaving->second.record, record);
    return record.is_leaving || record.is_withdrawn || has_said_leaving;
}

void router::set_evacuated_data_centers(std::set<std::string> names, absl::Time now) {
    service_names changed;
    for (const auto& [id, upstream] : m_upstreams) {
        const bool was_evacuated = m_evacuated.contains(upstream->record.data_center);
        if (was_evacuated == names.contains(upstream->record.data_center)) {
            continue;
        }
        changed.insert(upstream->record.service);
        if (was_evacuated) {
            // Its state is as unknown as that of an upstream that has just started.
            upstream->warm_up_started = now;
            upstream->penalised_until = absl::InfinitePast();
        }
    }
    m_evacuated = std::move(names);
    rebuild_groups(changed);
}

void router::apply_record(const upstream_record& record, service_names& changed, absl::Time now) {
    auto& upstream = m_upstreams[record.id];
    const bool is_new = upstream == nullptr;
    if (is_new) {
        upstream = std::make_unique<upstream_state>(m_settings.policy);
    } else if (upstream->was_listed && upstream->record == record) {
        upstream->is_listed = true;
        return;
    }
    changed.insert(record.service);
    if (!is_new) {
        changed.insert(upstream->record.service);
    }
    if (is_new || record.incarnation != upstream->record.incarnation) {
        if (outlier_ejector* ejector = is_new ? nullptr : ejector_of(*upstream)) {
            ejector->reset(record.id);
        }
        const int in_flight = upstream->in_flight;
        *upstream = upstream_state(m_settings.policy);
        upstream->in_flight = in_flight;
        upstream->warm_up_started = m_services.contains(record.service) ? now : absl::InfinitePast();
        upstream->listed_since = now;
        // Otherwise the first sample would count in full.
        upstream->excess.observe(absl::ZeroDuration(), now);
    }
    upstream->record = record;
    upstream->is_listed = true;
}

void router::rebuild_groups(const service_names& changed) {
    for (const std::string& service : changed) {
        for (auto& [version, members] : m_services[service]) {
            members.upstreams.clear();
        }
        m_evacuated_services.erase(service);
    }
    for (const auto& [id, upstream] : m_upstreams) {
        const upstream_record& record = upstream->record;
        if (!upstream->is_listed || !changed.contains(record.service)) {
            continue;
        }
        if (is_usable(record)) {
            m_services[record.service][record.version].upstreams.push_back(upstream.get());
        } else if (!is_leaving(record)) {
            m_evacuated_services.insert(record.service);
        }
    }
    for (const std::string& service : changed) {
        version_groups& group = m_services[service];
        std::erase_if(group, [](const auto& entry) { return entry.second.upstreams.empty(); });
        for (auto& [version, members] : group) {
            finalize_group(members);
        }
        if (group.empty()) {
            m_services.erase(service);
        }
    }
}

void router::finalize_group(version_group& members) const {
    // The iteration order of the hash table differs between runs; decisions must be reproducible.
    std::ranges::sort(members.upstreams, {},
                      [](const upstream_state* one) { return std::string_view(one->record.id); });
    std::vector<std::string> ids;
    ids.reserve(members.upstreams.size());
    members.known_since = absl::InfiniteFuture();
    for (const upstream_state* one : members.upstreams) {
        ids.push_back(one->record.id);
        members.known_since = std::min(members.known_since, one->listed_since);
    }
    if (!members.ejector) {
        members.ejector = std::make_unique<outlier_ejector>(m_settings.policy.ejection);
    }
    members.ejector->set_members(ids);
}

std::vector<router::weighted_version> router::weighted_versions(const route& matched_route,
                                                                const routing_request& request) const {
    std::vector<weighted_version> versions;
    const std::string& service = service_of(matched_route, request);
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return versions;
    }
    for (const auto& [version, group] : found->second) {
        const bool is_served = std::ranges::any_of(
            group.upstreams, [&](const upstream_state* one) { return can_serve(one->record, matched_route, request); });
        const double weight = is_served ? configured_weight(service, version, found->second) : 0;
        if (weight > 0) {
            versions.push_back({&version, &group, weight});
        }
    }
    return versions;
}

double router::configured_weight(const std::string& service, const std::string& version,
                                 const version_groups& versions) const {
    if (const auto overrides = m_overrides.find(service); overrides != m_overrides.end()) {
        if (const auto found = overrides->second.find(version); found != overrides->second.end()) {
            return found->second;
        }
        const auto others = overrides->second.find("");
        const auto unnamed =
            std::ranges::count_if(versions, [&](const auto& one) { return !overrides->second.contains(one.first); });
        return others == overrides->second.end() ? 0 : others->second / static_cast<double>(unnamed);
    }
    if (const auto configured = m_state->shares.find(service); configured != m_state->shares.end()) {
        const auto found = configured->second.weight_by_version.find(version);
        return found == configured->second.weight_by_version.end() ? 0 : found->second;
    }
    const version_group& group = versions.at(version);
    if (m_settings.holds_back_new_versions && std::ranges::any_of(versions, [&](const auto& other) {
            return std::tie(other.second.known_since, other.first) < std::tie(group.known_since, version);
        })) {
        return 0;
    }
    double slots = 0;
    for (const upstream_state* upstream : group.upstreams) {
        slots += std::max(upstream->record.slots, 1);
    }
    return slots;
}

router::candidate_set router::candidates(const version_group& group, const route& matched_route,
                                         const routing_request& request, absl::Time now) const {
    candidate_set preferred{{}, choice_reason::none};
    std::vector<upstream_state*> penalised;
    std::vector<upstream_state*> ejected;
    std::vector<upstream_state*> unreachable;
    for (upstream_state* upstream : group.upstreams) {
        if (!can_serve(upstream->record, matched_route, request)) {
            continue;
        }
        const availability state = group.ejector->state(upstream->record.id, request.is_idempotent, now);
        if (state == availability::probe && request.tried_upstreams.empty()) {
            return {{upstream}, choice_reason::probe};
        }
        if (may_be_unreachable(*upstream, now)) {
            unreachable.push_back(upstream);
        } else if (state != availability::active) {
            ejected.push_back(upstream);
        } else if (now < upstream->penalised_until) {
            penalised.push_back(upstream);
        } else {
            preferred.upstreams.push_back(upstream);
        }
    }
    if (!preferred.upstreams.empty()) {
        return preferred;
    }
    // An upstream that fails a part of its requests serves the others; an owner that is out of reach serves none.
    for (std::vector<upstream_state*>* others : {&penalised, &ejected, &unreachable}) {
        if (!others->empty()) {
            return {std::move(*others), choice_reason::ejection_ignored};
        }
    }
    return preferred;
}

std::vector<pick_candidate> router::make_pick_candidates(const std::vector<upstream_state*>& upstreams,
                                                         absl::Time now) const {
    std::vector<pick_candidate> pick_candidates;
    pick_candidates.reserve(upstreams.size());
    for (const upstream_state* upstream : upstreams) {
        pick_candidates.push_back({.weight = usable_slots(*upstream) * m_warm_up.weight(upstream->warm_up_started, now),
                                   .is_local = is_local(*upstream)});
    }
    return pick_candidates;
}

absl::Duration router::lowest_latency(const std::vector<upstream_state*>& upstreams, absl::Time now) {
    // An upstream without a sample counts as fast as the fastest one, so that it is tried but not flooded.
    absl::Duration lowest = absl::InfiniteDuration();
    for (const upstream_state* upstream : upstreams) {
        if (upstream->latency.has_samples()) {
            lowest = std::min(lowest, upstream->latency.value(now));
        }
    }
    return lowest == absl::InfiniteDuration() ? absl::Milliseconds(1) : lowest;
}

void router::estimate_cost(pick_candidate& candidate, const upstream_state& upstream,
                           const std::vector<upstream_state*>& upstreams, const std::string& route_name,
                           std::optional<report_averages>& averages, absl::Time now) const {
    const bool is_fresh =
        upstream.service_time > absl::ZeroDuration() && upstream.load.age(now) < m_settings.policy.fresh_report_age;
    if (!is_fresh && !averages) {
        averages = average_reports(upstreams, route_name, now);
    }
    const report_averages used = averages.value_or(report_averages{});
    candidate.parts = expected_completion(upstream, route_name, used, now);
    if (candidate.parts.total() > absl::ZeroDuration()) {
        candidate.expected_latency = candidate.parts.total() + upstream.excess.value(now);
        candidate.cost = absl::ToDoubleSeconds(candidate.expected_latency + candidate.parts.spread);
        candidate.load = expected_load(upstream, used, now);
        candidate.report_age = upstream.load.age(now);
        return;
    }
    const double own_load = upstream.in_flight / usable_slots(upstream);
    const double reported_load = decayed_load(upstream, now);
    const absl::Duration latency = upstream.latency.has_samples()
                                       ? std::max(upstream.latency.value(now), absl::Microseconds(1))
                                       : lowest_latency(upstreams, now);
    candidate.cost = absl::ToDoubleSeconds(latency) * (1 + m_settings.policy.own_load_weight * own_load +
                                                       m_settings.policy.reported_load_weight * reported_load);
    candidate.load = std::max(own_load, reported_load);
}

router::report_averages router::average_reports(const std::vector<upstream_state*>& upstreams,
                                                const std::string& route_name, absl::Time now) const {
    report_averages averages;
    int reported = 0;
    int reported_local = 0;
    for (const upstream_state* upstream : upstreams) {
        if (upstream->service_time > absl::ZeroDuration()) {
            const bool upstream_is_local = is_local(*upstream);
            ++reported;
            reported_local += upstream_is_local ? 1 : 0;
            averages.service_time += upstream->service_time;
            averages.route_service_time += service_time_of(*upstream, route_name);
            averages.link_utilisation += upstream->link_utilisation.value(now);
            averages.link_mbps += upstream->link_mbps;
            (upstream_is_local ? averages.local_load : averages.remote_load) += upstream->load.value(now);
        }
    }
    if (reported > 0) {
        averages.service_time /= reported;
        averages.route_service_time /= reported;
        averages.link_utilisation /= reported;
        averages.link_mbps /= reported;
        averages.local_load /= std::max(reported_local, 1);
        averages.remote_load /= std::max(reported - reported_local, 1);
    }
    return averages;
}

double router::usable_slots(const upstream_state& upstream) {
    const double slots = std::max(upstream.record.slots, 1);
    if (!upstream.rate_limit || upstream.service_time == absl::ZeroDuration()) {
        return slots;
    }
    return std::clamp(*upstream.rate_limit * absl::ToDoubleSeconds(upstream.service_time), min_usable_slots, slots);
}

bool router::is_local(const upstream_state& upstream) const {
    return upstream.record.data_center == m_settings.data_center;
}

absl::Duration router::service_time_of(const upstream_state& upstream, const std::string& route_name) {
    const auto known = upstream.route_service_times.find(route_name);
    return known == upstream.route_service_times.end() ? upstream.service_time : known->second;
}

double router::expected_load(const upstream_state& upstream, const report_averages& averages, absl::Time now) const {
    const double slots = usable_slots(upstream);
    // The report is out of date by the requests that were sent since. Only those of this entry are known.
    const double since = (upstream.in_flight - upstream.in_flight_at_report) / slots;
    const double average = is_local(upstream) ? averages.local_load : averages.remote_load;
    return std::max(upstream.in_flight / slots, upstream.load.value(now, average) + since);
}

completion_estimate router::expected_completion(const upstream_state& upstream, const std::string& route_name,
                                                const report_averages& averages, absl::Time now) const {
    const bool is_reported = upstream.service_time > absl::ZeroDuration();
    if (!is_reported && averages.service_time == absl::ZeroDuration()) {
        return {};
    }
    return estimate_completion(
        {.route_time = is_reported ? service_time_of(upstream, route_name) : averages.route_service_time,
         .service_time = is_reported ? upstream.service_time : averages.service_time,
         .work_factor = std::exp(upstream.log_work_factor.value(now)),
         .slots = usable_slots(upstream),
         .load = expected_load(upstream, averages, now),
         .link_utilisation = is_reported ? upstream.link_utilisation.value(now) : averages.link_utilisation,
         .link_mbps = is_reported ? upstream.link_mbps : averages.link_mbps,
         .bytes = mean_transfer_bytes(route_name)},
        m_settings.policy.completion);
}

double router::mean_transfer_bytes(const std::string& route_name) const {
    const auto known = m_transfer_sizes.find(route_name);
    return known == m_transfer_sizes.end() ? 0 : known->second.total();
}

void router::on_transfer(const std::string& route, double request_bytes, double response_bytes) {
    m_transfer_sizes[route].observe(request_bytes, response_bytes);
}

data_center_question router::question_of(const route& matched_route, const routing_request& request,
                                         absl::Time now) const {
    return {.time_to_target = request.target_time - now,
            .time_to_deadline = request.deadline - now,
            .bytes = mean_transfer_bytes(matched_route.name)};
}

void router::set_suspected_owners(std::vector<endpoint> owners) {
    m_suspected_owners = std::move(owners);
}

bool router::is_unreachable(const std::string& upstream_id, absl::Time now) const {
    const auto found = m_upstreams.find(upstream_id);
    return found != m_upstreams.end() && is_unresponsive(*found->second, now) && is_suspected(*found->second);
}

bool router::is_suspected(const upstream_state& upstream) const {
    return std::ranges::find(m_suspected_owners, upstream.record.owner) != m_suspected_owners.end();
}

bool router::is_unresponsive(const upstream_state& upstream, absl::Time now) const {
    return upstream.in_flight >= m_settings.policy.unresponsive_requests &&
           now - upstream.unanswered_since > m_settings.policy.unresponsive_after;
}

bool router::may_be_unreachable(const upstream_state& upstream, absl::Time now) const {
    return is_unresponsive(upstream, now) || is_suspected(upstream);
}

void router::on_report(const std::string& upstream_id, const std::string& route, const owner_report& report,
                       absl::Time now) {
    const auto found = m_upstreams.find(upstream_id);
    if (found == m_upstreams.end()) {
        return;
    }
    upstream_state& upstream = *found->second;
    upstream.load.observe(std::clamp(report.load, 0.0, owner_report_load_cap), now);
    upstream.log_work_factor.observe(
        std::log(std::clamp(report.work_factor, 1 / max_reported_work_factor, max_reported_work_factor)), now);
    if (report.link_utilisation) {
        upstream.link_utilisation.observe(std::clamp(*report.link_utilisation, 0.0, 1.0), now);
        upstream.link_mbps = report.link_mbps;
    }
    upstream.in_flight_at_report = upstream.in_flight;
    upstream.rate_limit = report.rate_limit;
    if (report.service_time > absl::ZeroDuration()) {
        upstream.service_time = report.service_time;
    }
    if (report.route_service_time > absl::ZeroDuration()) {
        upstream.route_service_times[route] = report.route_service_time;
    }
}

double router::decayed_load(const upstream_state& upstream, absl::Time now) const {
    return upstream.reported_load *
           std::exp(-absl::FDivDuration(now - upstream.reported_at, m_settings.policy.reported_load_decay));
}

candidate_info router::candidate_info_of(const upstream_state& upstream, const pick_candidate& candidate,
                                         absl::Time now) const {
    return {.id = upstream.record.id,
            .cost = candidate.cost,
            .in_flight = upstream.in_flight,
            .latency = upstream.latency.value(now),
            .parts = candidate.parts,
            .excess = upstream.excess.value(now),
            .work_factor = std::exp(upstream.log_work_factor.value(now)),
            .link_utilisation = upstream.link_utilisation.value(now)};
}

void router::record_excess(upstream_state& upstream, attempt_outcome outcome, absl::Duration latency,
                           absl::Duration expected, absl::Time now) const {
    if (expected <= absl::ZeroDuration()) {
        return;
    }
    const absl::Duration excess = std::min(latency - expected, expected * m_settings.policy.max_excess);
    const bool is_given_up = outcome == attempt_outcome::cancelled || outcome == attempt_outcome::sent_no_answer;
    if (outcome == attempt_outcome::answered) {
        upstream.excess.observe(std::max(excess, absl::ZeroDuration()), now);
    } else if (is_given_up && excess > upstream.excess.value(now)) {
        // The response would have come later still; a caller that leaves early says nothing.
        upstream.excess.observe(excess, now);
    }
}

void router::record_outcome(upstream_state& upstream, attempt_outcome outcome, absl::Duration latency, absl::Time now) {
    const router_policy& policy = m_settings.policy;
    if (outlier_ejector* ejector = ejector_of(upstream)) {
        if (ejector->on_result(upstream.record.id, health_signal_of(outcome), now)) {
            upstream.warm_up_started = now;
        }
    }
    absl::Duration penalty;
    switch (outcome) {
    case attempt_outcome::answered:
    case attempt_outcome::sent_no_answer:
        upstream.latency.observe(latency, now);
        break;
    case attempt_outcome::refused_load:
        penalty = policy.refusal_penalty;
        break;
    case attempt_outcome::connect_failed:
        penalty = policy.connect_penalty;
        break;
    case attempt_outcome::refused_leaving:
        penalty = policy.leaving_penalty;
        break;
    case attempt_outcome::answered_error: // Fast errors must not make an upstream attractive.
    case attempt_outcome::answer_broken:
    case attempt_outcome::cancelled:
        break;
    }
    if (penalty > absl::ZeroDuration()) {
        upstream.penalised_until = std::max(upstream.penalised_until, now + penalty);
    }
}

outlier_ejector* router::ejector_of(const upstream_state& upstream) {
    const auto service = m_services.find(upstream.record.service);
    if (service == m_services.end()) {
        return nullptr;
    }
    const auto version = service->second.find(upstream.record.version);
    return version == service->second.end() ? nullptr : version->second.ejector.get();
}

} // namespace amaranthladder
