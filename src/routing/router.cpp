#include "routing/router.h"

#include <absl/random/uniform_real_distribution.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthladder {

namespace {

/// A busier upstream takes a little longer even while it has free slots; it decides between equals.
constexpr double load_tie_break = 0.1;
/// A queue that is longer than this many times the slots is not told apart.
constexpr double max_reported_load = 10;

bool is_usable(const upstream_record& record) {
    return !record.is_leaving && !record.is_withdrawn;
}

bool can_serve(const upstream_record& record, const route& target, const request_facts& request) {
    const bool serves_route =
        record.routes.empty() || std::ranges::find(record.routes, target.name) != record.routes.end();
    return serves_route && std::ranges::find(request.tried, record.id) == request.tried.end();
}

health_signal signal_of(attempt_outcome outcome) {
    if (is_failure(outcome)) {
        return health_signal::failure;
    }
    return outcome == attempt_outcome::answered ? health_signal::success : health_signal::none;
}

const std::string& service_of(const route& target, const request_facts& request) {
    return request.service.empty() ? target.service : request.service;
}

routing_decision refuse(const route& target, const request_facts& request, result_code code) {
    routing_decision decision;
    decision.route = target.name;
    decision.service = service_of(target, request);
    decision.refusal = code;
    return decision;
}

} // namespace

router::router(router_settings settings)
    : m_settings(std::move(settings)), m_warm_up(m_settings.policy.warming), m_picker(m_settings.policy.picking),
      m_state(std::make_shared<const intended_state>()) {}

void router::set_configuration(std::shared_ptr<const intended_state> state) {
    m_state = std::move(state);
    m_routes = route_table(m_state);
}

void router::set_upstreams(const std::vector<upstream_record>& records, absl::Time now) {
    for (const auto& [id, upstream] : m_upstreams) {
        upstream->was_listed = std::exchange(upstream->is_listed, false);
    }
    service_names changed;
    for (const upstream_record& record : records) {
        take_record(record, changed, now);
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

routing_decision router::choose(const route& target, const request_facts& request, absl::Time now,
                                absl::BitGenRef rng) const {
    if (request.deadline <= now) {
        return refuse(target, request, result_code::deadline_expired);
    }
    const std::vector<weighed_version> versions = weighed_versions(target, request);
    double total = 0;
    for (const weighed_version& version : versions) {
        total += version.weight;
    }
    if (total <= 0) {
        return refuse(target, request, result_code::no_upstream);
    }
    double left = absl::uniform_real_distribution<double>(0, total)(rng);
    auto version = versions.begin();
    while (version + 1 != versions.end() && left >= version->weight) {
        left -= version->weight;
        ++version;
    }
    const candidate_set usable = candidates(*version->group, target, request, now);
    const std::vector<pick_candidate> weighed = weigh(usable.upstreams, target.name, now);
    const pick_result picked = m_picker.pick(weighed, rng, local_limit(target, request, now));
    const upstream_state& chosen = *usable.upstreams[picked.chosen];
    routing_decision decision = refuse(target, request, result_code::ok);
    decision.version = *version->name;
    decision.upstream_id = chosen.record.id;
    decision.owner = chosen.record.owner;
    decision.address = chosen.record.address;
    decision.reason = usable.reason == choice_reason::none ? picked.reason : usable.reason;
    decision.candidate_count = static_cast<int>(usable.upstreams.size());
    decision.chosen = view(chosen, weighed[picked.chosen], now);
    if (picked.compared) {
        decision.compared = view(*usable.upstreams[*picked.compared], weighed[*picked.compared], now);
    }
    return decision;
}

void router::on_started(const std::string& upstream_id, absl::Time now) {
    const auto found = m_upstreams.find(upstream_id);
    if (found == m_upstreams.end()) {
        return;
    }
    if (found->second->in_flight++ == 0) {
        found->second->waiting_since = now;
    }
    if (ejector* health = health_of(*found->second)) {
        health->on_probe_started(upstream_id, now);
    }
}

void router::on_finished(const std::string& upstream_id, attempt_outcome outcome, absl::Duration latency,
                         std::optional<double> load, absl::Time now) {
    const auto found = m_upstreams.find(upstream_id);
    if (found == m_upstreams.end()) {
        return;
    }
    upstream_state& upstream = *found->second;
    upstream.in_flight = std::max(upstream.in_flight - 1, 0);
    const bool is_answer = outcome != attempt_outcome::sent_no_answer && outcome != attempt_outcome::cancelled &&
                           outcome != attempt_outcome::connect_failed;
    if (upstream.in_flight == 0) {
        upstream.waiting_since = absl::InfiniteFuture();
    } else if (is_answer) {
        upstream.waiting_since = now;
    }
    if (load && std::isfinite(*load)) {
        upstream.hint = std::clamp(*load, 0.0, m_settings.policy.max_hint);
        upstream.hint_time = now;
    }
    learn(upstream, outcome, latency, now);
    if (!upstream.is_listed && upstream.in_flight == 0) {
        m_upstreams.erase(found);
    }
}

int router::in_flight(const std::string& upstream_id) const {
    const auto found = m_upstreams.find(upstream_id);
    return found == m_upstreams.end() ? 0 : found->second->in_flight;
}

void router::take_record(const upstream_record& record, service_names& changed, absl::Time now) {
    auto& slot = m_upstreams[record.id];
    const bool is_new = slot == nullptr;
    if (is_new) {
        slot = std::make_unique<upstream_state>();
    } else if (slot->was_listed && slot->record == record) {
        slot->is_listed = true;
        return;
    }
    changed.insert(record.service);
    if (!is_new) {
        changed.insert(slot->record.service);
    }
    if (is_new || record.incarnation != slot->record.incarnation) {
        if (ejector* health = is_new ? nullptr : health_of(*slot)) {
            health->reset(record.id);
        }
        const int in_flight = slot->in_flight;
        *slot = upstream_state();
        slot->in_flight = in_flight;
        slot->latency = latency_average(m_settings.policy.averaging);
        slot->warming_since = m_services.contains(record.service) ? now : absl::InfinitePast();
        slot->listed_since = now;
    }
    slot->record = record;
    slot->is_listed = true;
}

void router::rebuild_groups(const service_names& changed) {
    for (const std::string& service : changed) {
        for (auto& [version, members] : m_services[service]) {
            members.upstreams.clear();
        }
    }
    for (const auto& [id, upstream] : m_upstreams) {
        const upstream_record& record = upstream->record;
        if (upstream->is_listed && is_usable(record) && changed.contains(record.service)) {
            m_services[record.service][record.version].upstreams.push_back(upstream.get());
        }
    }
    for (const std::string& service : changed) {
        service_group& group = m_services[service];
        std::erase_if(group, [](const auto& entry) { return entry.second.upstreams.empty(); });
        for (auto& [version, members] : group) {
            finish_group(members);
        }
        if (group.empty()) {
            m_services.erase(service);
        }
    }
}

void router::finish_group(version_group& members) const {
    // The order of the hash table differs between runs; decisions must not.
    std::ranges::sort(members.upstreams, {},
                      [](const upstream_state* one) { return std::string_view(one->record.id); });
    std::vector<std::string> ids;
    ids.reserve(members.upstreams.size());
    members.known_since = absl::InfiniteFuture();
    for (const upstream_state* one : members.upstreams) {
        ids.push_back(one->record.id);
        members.known_since = std::min(members.known_since, one->listed_since);
    }
    if (!members.health) {
        members.health = std::make_unique<ejector>(m_settings.policy.ejecting);
    }
    members.health->set_members(ids);
}

std::vector<router::weighed_version> router::weighed_versions(const route& target, const request_facts& request) const {
    std::vector<weighed_version> versions;
    const std::string& service = service_of(target, request);
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return versions;
    }
    for (const auto& [version, group] : found->second) {
        const bool is_served = std::ranges::any_of(
            group.upstreams, [&](const upstream_state* one) { return can_serve(one->record, target, request); });
        const double weight = is_served ? configured_weight(service, version, found->second) : 0;
        if (weight > 0) {
            versions.push_back({&version, &group, weight});
        }
    }
    return versions;
}

double router::configured_weight(const std::string& service, const std::string& version,
                                 const service_group& versions) const {
    if (const auto moved = m_overrides.find(service); moved != m_overrides.end()) {
        if (const auto found = moved->second.find(version); found != moved->second.end()) {
            return found->second;
        }
        const auto others = moved->second.find("");
        const auto unnamed =
            std::ranges::count_if(versions, [&](const auto& one) { return !moved->second.contains(one.first); });
        return others == moved->second.end() ? 0 : others->second / static_cast<double>(unnamed);
    }
    if (const auto shared = m_state->shares.find(service); shared != m_state->shares.end()) {
        const auto found = shared->second.weight_by_version.find(version);
        return found == shared->second.weight_by_version.end() ? 0 : found->second;
    }
    const version_group& group = versions.at(version);
    if (m_settings.holds_new_versions && std::ranges::any_of(versions, [&](const auto& other) {
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

router::candidate_set router::candidates(const version_group& group, const route& target, const request_facts& request,
                                         absl::Time now) const {
    candidate_set preferred{{}, choice_reason::none};
    std::vector<upstream_state*> penalised;
    std::vector<upstream_state*> ejected;
    for (upstream_state* upstream : group.upstreams) {
        if (!can_serve(upstream->record, target, request)) {
            continue;
        }
        const availability state = group.health->state(upstream->record.id, request.is_idempotent, now);
        if (state == availability::probe && request.tried.empty()) {
            return {{upstream}, choice_reason::probe};
        }
        if (state != availability::active) {
            ejected.push_back(upstream);
        } else if (now < upstream->penalised_until || is_doubtful(*upstream, now)) {
            penalised.push_back(upstream);
        } else {
            preferred.upstreams.push_back(upstream);
        }
    }
    if (!preferred.upstreams.empty()) {
        return preferred;
    }
    return {penalised.empty() ? std::move(ejected) : std::move(penalised), choice_reason::ejection_ignored};
}

std::vector<pick_candidate> router::weigh(const std::vector<upstream_state*>& upstreams, const std::string& route_name,
                                          absl::Time now) const {
    // An upstream without a sample is taken for as quick as the quickest: it is tried, but not flooded.
    absl::Duration quickest = absl::InfiniteDuration();
    for (const upstream_state* upstream : upstreams) {
        if (upstream->latency.is_known()) {
            quickest = std::min(quickest, upstream->latency.value(now));
        }
    }
    quickest = quickest == absl::InfiniteDuration() ? absl::Milliseconds(1) : quickest;
    const typical_times typical = typical_times_of(upstreams, route_name, now);
    std::vector<pick_candidate> weighed;
    weighed.reserve(upstreams.size());
    for (const upstream_state* upstream : upstreams) {
        const double slots = std::max(upstream->record.slots, 1);
        const double own = upstream->in_flight / slots;
        const double hint = trusted_hint(*upstream, now);
        const absl::Duration latency =
            std::max(upstream->latency.value(now), upstream->latency.is_known() ? absl::Microseconds(1) : quickest);
        const absl::Duration expected = expected_time(*upstream, route_name, typical, now);
        if (expected > absl::ZeroDuration()) {
            weighed.push_back({.weight = slots * m_warm_up.weight(upstream->warming_since, now),
                               .cost = absl::ToDoubleSeconds(expected),
                               .load = std::max(own, hint),
                               .is_local = is_local(*upstream),
                               .expected = expected});
            continue;
        }
        weighed.push_back({.weight = slots * m_warm_up.weight(upstream->warming_since, now),
                           .cost = absl::ToDoubleSeconds(latency) *
                                   (1 + m_settings.policy.own_weight * own + m_settings.policy.hint_weight * hint),
                           .load = std::max(own, hint),
                           .is_local = is_local(*upstream)});
    }
    return weighed;
}

router::typical_times router::typical_times_of(const std::vector<upstream_state*>& upstreams,
                                               const std::string& route_name, absl::Time now) const {
    typical_times typical;
    int reported = 0;
    int reported_local = 0;
    for (const upstream_state* upstream : upstreams) {
        if (upstream->service_time > absl::ZeroDuration()) {
            const bool is_near = is_local(*upstream);
            ++reported;
            reported_local += is_near ? 1 : 0;
            typical.service_time += upstream->service_time;
            typical.route_time += time_of_route(*upstream, route_name);
            (is_near ? typical.local_load : typical.remote_load) += trusted_hint(*upstream, now);
        }
    }
    if (reported > 0) {
        typical.service_time /= reported;
        typical.route_time /= reported;
        typical.local_load /= std::max(reported_local, 1);
        typical.remote_load /= std::max(reported - reported_local, 1);
    }
    return typical;
}

bool router::is_local(const upstream_state& upstream) const {
    return upstream.record.data_center == m_settings.data_center;
}

absl::Duration router::time_of_route(const upstream_state& upstream, const std::string& route_name) {
    const auto known = upstream.route_times.find(route_name);
    return known == upstream.route_times.end() ? upstream.service_time : known->second;
}

absl::Duration router::expected_time(const upstream_state& upstream, const std::string& route_name,
                                     const typical_times& typical, absl::Time now) const {
    const bool is_reported = upstream.service_time > absl::ZeroDuration();
    const absl::Duration service_time = is_reported ? upstream.service_time : typical.service_time;
    if (service_time == absl::ZeroDuration()) {
        return absl::ZeroDuration();
    }
    const double slots = std::max(upstream.record.slots, 1);
    // What this entry has sent since the report is known exactly; what others sent is not.
    const double since = (upstream.in_flight - upstream.in_flight_at_hint) / slots;
    const double typical_load = is_local(upstream) ? typical.local_load : typical.remote_load;
    const double known_load = is_reported ? trusted_hint(upstream, now) : typical_load;
    const double load = std::max(upstream.in_flight / slots, known_load + since);
    const absl::Duration own_time = is_reported ? time_of_route(upstream, route_name) : typical.route_time;
    return own_time + service_time * std::max(0.0, load + 1 / slots - 1) + service_time * load * load_tie_break;
}

absl::Duration router::local_limit(const route& target, const request_facts& request, absl::Time now) const {
    if (request.target == absl::InfiniteFuture()) {
        return absl::ZeroDuration();
    }
    const double share =
        target.kind == route_kind::download ? m_settings.policy.local_share_download : m_settings.policy.local_share;
    return std::max(absl::Milliseconds(1), (request.target - now) * share);
}

void router::set_suspected_owners(std::vector<endpoint> owners) {
    m_suspected_owners = std::move(owners);
}

bool router::is_unreachable(const std::string& upstream_id, absl::Time now) const {
    const auto found = m_upstreams.find(upstream_id);
    return found != m_upstreams.end() && is_silent(*found->second, now) && is_suspected(*found->second);
}

bool router::is_suspected(const upstream_state& upstream) const {
    return std::ranges::find(m_suspected_owners, upstream.record.owner) != m_suspected_owners.end();
}

bool router::is_silent(const upstream_state& upstream, absl::Time now) const {
    return upstream.in_flight >= m_settings.policy.silent_requests &&
           now - upstream.waiting_since > m_settings.policy.silent_time;
}

bool router::is_doubtful(const upstream_state& upstream, absl::Time now) const {
    return is_silent(upstream, now) || is_suspected(upstream);
}

void router::on_report(const std::string& upstream_id, const std::string& route, const owner_report& report,
                       absl::Time now) {
    const auto found = m_upstreams.find(upstream_id);
    if (found == m_upstreams.end()) {
        return;
    }
    upstream_state& upstream = *found->second;
    upstream.hint = std::clamp(report.load, 0.0, max_reported_load);
    upstream.hint_time = now;
    upstream.in_flight_at_hint = upstream.in_flight;
    if (report.service_time > absl::ZeroDuration()) {
        upstream.service_time = report.service_time;
    }
    if (report.route_time > absl::ZeroDuration()) {
        upstream.route_times[route] = report.route_time;
    }
}

double router::trusted_hint(const upstream_state& upstream, absl::Time now) const {
    return upstream.hint * std::exp(-absl::FDivDuration(now - upstream.hint_time, m_settings.policy.hint_decay));
}

candidate_view router::view(const upstream_state& upstream, const pick_candidate& weighed, absl::Time now) const {
    return {upstream.record.id, weighed.cost, upstream.in_flight, upstream.latency.value(now)};
}

void router::learn(upstream_state& upstream, attempt_outcome outcome, absl::Duration latency, absl::Time now) {
    const router_policy& policy = m_settings.policy;
    if (ejector* health = health_of(upstream)) {
        if (health->on_result(upstream.record.id, signal_of(outcome), now)) {
            upstream.warming_since = now;
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
    case attempt_outcome::answered_error: // May be quick; a quick error must not make an upstream attractive.
    case attempt_outcome::answer_broken:
    case attempt_outcome::cancelled:
        break;
    }
    if (penalty > absl::ZeroDuration()) {
        upstream.penalised_until = std::max(upstream.penalised_until, now + penalty);
    }
}

ejector* router::health_of(const upstream_state& upstream) {
    const auto service = m_services.find(upstream.record.service);
    if (service == m_services.end()) {
        return nullptr;
    }
    const auto version = service->second.find(upstream.record.version);
    return version == service->second.end() ? nullptr : version->second.health.get();
}

} // namespace amaranthladder
