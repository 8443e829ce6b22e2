#include "daemon/status_text.h"

#include "common/error.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <iterator>
#include <string_view>
#include <utility>

namespace amaranthladder {

namespace {

namespace json = boost::json;

std::string format_time(absl::Time time) {
    if (time == absl::InfiniteFuture() || time == absl::InfinitePast()) {
        return "";
    }
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone());
}

json::object origin_json(const source_line& origin) {
    return {{"file", origin.file}, {"line", origin.line}};
}

json::object configuration_json(const daemon_status& status) {
    json::object result;
    if (status.configuration) {
        result["version"] = status.configuration->version();
        result["hash"] = status.configuration->hash();
        result["publish_id"] = status.configuration->publish_id();
        result["published_at"] = format_time(status.configuration->publish_time());
    } else {
        result["version"] = 0;
    }
    if (status.configuration_applied_at) {
        result["applied_at"] = format_time(*status.configuration_applied_at);
        result["age_ms"] = absl::ToInt64Milliseconds(status.now - *status.configuration_applied_at);
    }
    result["newest_heard_version"] = status.newest_heard_version;
    if (status.refusal) {
        result["refused"] = json::object{{"version", status.refusal->version},
                                         {"code", static_cast<int>(status.refusal->code)},
                                         {"name", std::string(name(status.refusal->code))},
                                         {"detail", status.refusal->detail}};
    }
    return result;
}

json::object store_json(const daemon_status& status) {
    json::object result{{"reachable", !status.store.unreachable_since},
                        {"calls", status.store.calls},
                        {"watching", status.store.is_watching}};
    if (status.store.unreachable_since) {
        result["unreachable_since"] = format_time(*status.store.unreachable_since);
    }
    return result;
}

/// @return control-plane bytes sent, and control-plane bytes received.
std::pair<std::uint64_t, std::uint64_t> sent_and_received_bytes(const peer_counters& traffic) {
    std::uint64_t sent = traffic.pulls.sent_bytes + traffic.repairs.sent_bytes;
    std::uint64_t received = traffic.pulls.received_bytes + traffic.repairs.received_bytes;
    for (const auto& kind : traffic.datagrams) {
        sent += kind.sent_bytes;
        received += kind.received_bytes;
    }
    return {sent, received};
}

json::object peers_json(const daemon_status& status) {
    std::map<std::string, int> counts;
    for (const auto& peer : status.members) {
        ++counts[std::string(name(peer.state))];
    }
    json::object result{{"joined", status.is_joined}};
    for (const auto& [state, count] : counts) {
        result[state] = count;
    }
    const auto [sent, received] = sent_and_received_bytes(status.traffic);
    result["sent_bytes"] = sent;
    result["received_bytes"] = received;
    return result;
}

json::array upstreams_json(const daemon_status& status) {
    json::array result;
    for (const auto& [id, known] : status.local_upstreams) {
        result.push_back(json::object{{"id", id},
                                      {"service", known.announcement.service},
                                      {"version", known.announcement.version},
                                      {"address", to_string(known.announcement.address)},
                                      {"slots", known.announcement.slots},
                                      {"state", known.state}});
    }
    return result;
}

json::object call_summary_json(const call_summary& summary) {
    return {{"calls", summary.calls},
            {"failed", summary.failed},
            {"refused", summary.refused},
            {"median_us", summary.median_us}};
}

json::object make_move_object(const move_status& status) {
    return {{"name", status.identity.name},
            {"introduced_in", status.identity.introduced_in},
            {"service", status.service},
            {"from", status.from_version},
            {"to", status.to_version},
            {"share", status.share},
            {"stage", status.stage},
            {"state", status.state},
            {"verdict", std::string(name(status.verdict))},
            {"reason", std::string(name(status.reason))},
            {"started_at", format_time(status.started_at)},
            {"deadline", format_time(status.deadline)},
            {"forecast", format_time(status.forecast)},
            {"ended_at", format_time(status.ended_at)},
            {"decided_by", status.decided_by},
            {"route", status.route},
            {"new_version", call_summary_json(status.new_version)},
            {"old_version", call_summary_json(status.old_version)},
            {"contributors", status.contributors}};
}

json::object requests_json(const proxy_counters& counters) {
    return {{"entry", counters.entry_requests},
            {"owner", counters.owner_requests},
            {"attempts", counters.attempts},
            {"retries", counters.retries},
            {"refused_not_run", counters.refusals_not_run},
            {"refused_may_have_run", counters.refusals_may_have_run},
            {"malformed", counters.malformed_requests},
            {"in_flight", counters.requests_in_flight},
            {"connections", counters.connections_open},
            {"connections_refused", counters.connections_refused}};
}

json::object quotas_json(const quota_report& quotas) {
    return {{"settled", quotas.is_settled},
            {"members", quotas.members_known},
            {"fraction", quotas.fraction},
            {"coordinated_tenants", quotas.coordinated_tenants},
            {"granted", quotas.requests.granted},
            {"refused_over_quota", quotas.requests.refused_over},
            {"refused_unknown", quotas.requests.refused_unknown},
            {"asked", quotas.requests.asks},
            {"fallback", quotas.requests.fallback_asks},
            {"waited", quotas.requests.waited},
            {"expired", quotas.requests.expired}};
}

void add_metric(std::string& text, std::string_view metric, std::string_view type, std::string_view labels,
                double value) {
    fmt::format_to(std::back_inserter(text), "# TYPE amaranthladder_{0} {1}\namaranthladder_{0}{2} {3}\n", metric, type,
                   labels, value);
}

void add_quota_metrics(std::string& text, const quota_report& quotas) {
    const auto add = [&text](std::string_view metric, std::uint64_t value) {
        add_metric(text, metric, "counter", "", static_cast<double>(value));
    };
    add("quota_granted_total", quotas.requests.granted);
    add("quota_refused_over_total", quotas.requests.refused_over);
    add("quota_refused_unknown_total", quotas.requests.refused_unknown);
    add("quota_asked_total", quotas.requests.asks);
    add("quota_fallback_total", quotas.requests.fallback_asks);
    add("quota_expired_total", quotas.requests.expired);
    add("quota_coordinator_asks_total", quotas.grants.asks);
    add("quota_coordinator_granted_total", quotas.grants.granted);
    add("quota_reserve_granted_total", quotas.grants.reserve_granted);
    add("quota_coordinator_changes_total", quotas.grants.coordinator_changes);
    add("quota_messages_sent_total", quotas.messages_sent);
    add_metric(text, "quota_fleet_fraction", "gauge", "", quotas.fraction);
    add_metric(text, "quota_coordinated_tenants", "gauge", "", static_cast<double>(quotas.coordinated_tenants));
}

} // namespace

std::uint64_t control_bytes(const peer_counters& traffic) {
    const auto [sent, received] = sent_and_received_bytes(traffic);
    return sent + received;
}

std::string status_json(const daemon_status& status) {
    json::array moves;
    for (const auto& listed : status.moves) {
        moves.push_back(make_move_object(listed));
    }
    const json::object result{{"mesh", status.identity.mesh},
                              {"region", status.identity.region},
                              {"data_center", status.identity.data_center},
                              {"worker", status.identity.worker},
                              {"started_at", format_time(status.started_at)},
                              {"draining", status.is_draining},
                              {"configuration", configuration_json(status)},
                              {"store", store_json(status)},
                              {"peers", peers_json(status)},
                              {"upstreams_here", upstreams_json(status)},
                              {"upstreams_known", status.upstreams_known},
                              {"moves", moves},
                              {"evacuated", json::value_from(status.evacuated_data_centers)},
                              {"requests", requests_json(status.requests)},
                              {"quotas", quotas_json(status.quotas)},
                              {"dropped_log_lines", status.dropped_log_lines}};
    return json::serialize(result) + "\n";
}

std::string metrics_text(const daemon_status& status) {
    std::string text;
    const auto version = status.configuration ? status.configuration->version() : 0;
    add_metric(text, "configuration_version", "gauge", "", static_cast<double>(version));
    add_metric(text, "store_reachable", "gauge", "", status.store.unreachable_since ? 0 : 1);
    add_metric(text, "store_calls_total", "counter", "", static_cast<double>(status.store.calls));
    add_metric(text, "upstreams_known", "gauge", "", static_cast<double>(status.upstreams_known));
    add_metric(text, "entry_requests_total", "counter", "", static_cast<double>(status.requests.entry_requests));
    add_metric(text, "owner_requests_total", "counter", "", static_cast<double>(status.requests.owner_requests));
    add_metric(text, "attempts_total", "counter", "", static_cast<double>(status.requests.attempts));
    add_metric(text, "retries_total", "counter", "", static_cast<double>(status.requests.retries));
    add_metric(text, "malformed_requests_total", "counter", "",
               static_cast<double>(status.requests.malformed_requests));
    add_metric(text, "requests_refused_for_shortage_total", "counter", "",
               static_cast<double>(status.requests.refusals_for_shortage));
    add_metric(text, "upstream_rate_limit_changes_total", "counter", "",
               static_cast<double>(status.requests.rate_limit_changes));
    add_metric(text, "upstream_rate_limits_malformed_total", "counter", "",
               static_cast<double>(status.requests.malformed_rate_limits));
    add_metric(text, "request_bodies_received_total", "counter", "",
               static_cast<double>(status.requests.bodies_received));
    add_metric(text, "request_bodies_refused_total", "counter", "",
               static_cast<double>(status.requests.bodies_refused));
    add_metric(text, "upstream_surplus_responses_total", "counter", "",
               static_cast<double>(status.requests.surplus_responses));
    add_metric(text, "refusals_missing_key_total", "counter", "",
               static_cast<double>(status.requests.refusals_missing_key));
    add_metric(text, "refusals_unknown_key_total", "counter", "",
               static_cast<double>(status.requests.refusals_unknown_key));
    add_metric(text, "refusals_withdrawn_key_total", "counter", "",
               static_cast<double>(status.requests.refusals_withdrawn_key));
    add_metric(text, "upstream_load_reports_malformed_total", "counter", "",
               static_cast<double>(status.requests.malformed_server_loads));
    add_metric(text, "upstream_work_factor", "gauge", "", status.requests.work_factor);
    add_metric(text, "nested_requests_total", "counter", "", static_cast<double>(status.requests.nested_requests));
    add_metric(text, "delayed_requests_total", "counter", "", static_cast<double>(status.requests.delayed_requests));
    add_metric(text, "cross_data_center_attempts_total", "counter", "",
               static_cast<double>(status.requests.remote_attempts));
    add_metric(text, "cross_data_center_bytes_total", "counter", "", static_cast<double>(status.requests.remote_bytes));
    add_metric(text, "link_bytes_total", "counter", "", static_cast<double>(status.requests.link_bytes));
    add_metric(text, "link_utilisation", "gauge", "", status.requests.link_utilisation);
    add_metric(text, "evacuated_data_centers", "gauge", "", static_cast<double>(status.evacuated_data_centers.size()));
    add_metric(text, "refusals_evacuated_total", "counter", "",
               static_cast<double>(status.requests.refusals_evacuated));
    add_metric(text, "upstreams_cold", "gauge", "", static_cast<double>(status.requests.upstreams_cold));
    add_metric(text, "upstream_cold_periods_total", "counter", "", static_cast<double>(status.requests.cold_periods));
    add_metric(text, "upstream_cold_checks_total", "counter", "", static_cast<double>(status.requests.cold_checks));
    add_metric(text, "upstream_unknown_limits_total", "counter", "",
               static_cast<double>(status.requests.unknown_rate_limits));
    add_metric(text, "upstream_limit_checks_total", "counter", "",
               static_cast<double>(status.requests.rate_limit_checks));
    add_metric(text, "refusals_cold_total", "counter", "", static_cast<double>(status.requests.refusals_cold));
    add_quota_metrics(text, status.quotas);
    add_metric(text, "connections", "gauge", "", static_cast<double>(status.requests.connections_open));
    add_metric(text, "log_lines_dropped_total", "counter", "", static_cast<double>(status.dropped_log_lines));
    return text;
}

std::string move_json(const move_status& status) {
    return json::serialize(make_move_object(status)) + "\n";
}

std::string decision_json(const std::string& request, const std::string& decision) {
    return json::serialize(json::object{{"request", request}, {"decision", decision}}) + "\n";
}

std::string route_json(const snapshot& configuration, const std::string& route_name) {
    const intended_state& state = configuration.state();
    const auto found = state.routes.find(route_name);
    if (found == state.routes.end()) {
        throw error(result_code::no_route, fmt::format("route '{}' does not exist", route_name));
    }
    const route& shown = found->second;
    json::object result{{"configuration_version", configuration.version()},
                        {"route", shown.name},
                        {"path_prefix", shown.path_prefix},
                        {"service", shown.service},
                        {"host", shown.host},
                        {"kind", std::string(name(shown.kind))},
                        {"origin", origin_json(shown.origin)}};
    result["methods"] = json::value_from(shown.methods);
    if (const auto service = state.services.find(shown.service); service != state.services.end()) {
        result["service_origin"] = origin_json(service->second.origin);
    }
    if (const auto share = state.shares.find(shown.service); share != state.shares.end()) {
        result["share"] = json::value_from(share->second.weight_by_version);
        result["share_origin"] = origin_json(share->second.origin);
    }
    for (const auto& [move_name, declared] : state.moves) {
        if (declared.service == shown.service) {
            result["move"] = move_name;
            result["move_origin"] = origin_json(declared.origin);
        }
    }
    return json::serialize(result) + "\n";
}

} // namespace amaranthladder
