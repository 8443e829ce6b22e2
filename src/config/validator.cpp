#include "config/validator.h"

#include "config/config_table.h"
#include "config/key_digest.h"
#include "config/name_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>

namespace amaranthladder {

namespace {

constexpr std::size_t max_versions_per_share = 64;
/// So that the row of a tenant stays below max_row_bytes.
constexpr std::size_t max_keys_per_tenant = 1500;
constexpr absl::Time earliest_deadline = absl::FromUnixSeconds(946'684'800);   // 2000-01-01
constexpr absl::Time latest_deadline = absl::FromUnixSeconds(253'402'300'799); // 9999-12-31

/// Checks one state and collects the problems.
class state_check {
public:
    state_check(const intended_state& state, const validator::line_finder& find_line)
        : m_state(state), m_find_line(find_line) {}

    std::vector<config_problem> run() {
        for (const auto& [name, value] : m_state.services) {
            check_service(name, value);
        }
        for (const auto& [name, value] : m_state.routes) {
            check_route(name, value);
        }
        check_ambiguous_routes();
        for (const auto& [name, value] : m_state.shares) {
            check_share(name, value);
        }
        for (const auto& [name, value] : m_state.moves) {
            check_move(name, value);
        }
        check_moves_of_one_service();
        for (const auto& [name, value] : m_state.limits) {
            check_limits(name, value);
        }
        check_tenants();
        return std::move(m_problems);
    }

private:
    void check_service(const std::string& name, const service& value) {
        begin_section("service", name, value.origin);
        check_names(name, value.name);
        check_range("timeout_ms", absl::ToInt64Milliseconds(value.timeout));
        check_range("queue_limit", value.queue_limit);
        check_range("max_connections", value.max_connections);
        check_optional("cold_start_ms", value.cold_start);
        check_number("cold_rate_per_second", value.cold_rate);
        if (!value.health_path.empty() && !is_valid_path(value.health_path)) {
            add_problem(result_code::config_bad_value, "health_path", path_rule);
        }
    }

    void check_route(const std::string& name, const route& value) {
        begin_section("route", name, value.origin);
        check_names(name, value.name);
        check_service_reference("service", value.service);
        check_split(value);
        if (!value.host.empty() && !is_valid_host(value.host)) {
            add_problem(result_code::config_bad_value, "host", host_rule);
        }
        if (!is_valid_path(value.path_prefix)) {
            add_problem(result_code::config_bad_value, "path_prefix", path_rule);
        }
        const auto is_known = [](const std::string& method) {
            return std::ranges::find(route_methods(), std::string_view(method)) != route_methods().end();
        };
        if (!std::ranges::all_of(value.methods, is_known) || !std::ranges::is_sorted(value.methods) ||
            std::ranges::adjacent_find(value.methods) != value.methods.end()) {
            add_problem(result_code::config_bad_value, "methods",
                        fmt::format("must be a list of {}, each at most once", fmt::join(route_methods(), ", ")));
        }
        check_optional("timeout_ms", value.timeout);
        check_optional("target_latency_ms", value.target_latency);
        check_range("max_attempts", value.max_attempts);
        check_range("priority", value.priority);
    }

    void check_split(const route& value) {
        if (value.weight_by_service.empty()) {
            return;
        }
        std::int64_t total = 0;
        for (const auto& [service, weight] : value.weight_by_service) {
            check_service_reference("split", service);
            total += weight;
        }
        if (!value.weight_by_service.contains(value.service)) {
            add_problem(result_code::config_bad_value, "split", "must include the route's service");
        }
        if (total <= 0) {
            add_problem(result_code::config_share_without_weight, "split",
                        "at least one service must have a weight above 0");
        }
    }

    void check_limits(const std::string& name, const caller_limits& value) {
        begin_section("limits", name, value.origin);
        check_names(name, value.name);
        if (name != caller_limits_name) {
            add_problem(result_code::config_bad_name, "",
                        fmt::format("the only section is [limits {}]", caller_limits_name));
        }
        check_range("max_header_bytes", static_cast<std::int64_t>(value.max_header_bytes));
        check_range("max_body_bytes", static_cast<std::int64_t>(value.max_body_bytes));
        check_optional("header_timeout_ms", value.header_timeout);
        check_optional("idle_timeout_ms", value.idle_timeout);
    }

    void check_tenants() {
        std::unordered_map<std::string_view, const tenant*> first_by_key;
        for (const auto& [name, value] : m_state.tenants) {
            begin_section("tenant", name, value.origin);
            check_names(name, value.name);
            check_keys(value, first_by_key);
            if (value.priority) {
                check_range("priority", *value.priority);
            }
            check_number("rate_per_second", value.rate_per_second);
            check_number("burst", value.burst);
        }
    }

    void check_keys(const tenant& value, std::unordered_map<std::string_view, const tenant*>& first_by_key) {
        if (value.key_digests.size() > max_keys_per_tenant) {
            add_problem(result_code::config_too_large, "keys", fmt::format("more than {} keys", max_keys_per_tenant));
        }
        if (!std::ranges::is_sorted(value.key_digests)) {
            add_problem(result_code::config_bad_value, "keys", "the digests of the keys are not sorted");
        }
        for (const std::string& key : value.key_digests) {
            if (!is_key_digest(key)) {
                add_problem(result_code::config_bad_value, "keys", "a key is empty");
                continue;
            }
            const auto [first, is_first] = first_by_key.emplace(key, &value);
            if (!is_first) {
                add_problem(result_code::config_shared_key, "keys",
                            fmt::format("[tenant {}] ({}:{}) has the same key", first->second->name,
                                        first->second->origin.file, first->second->origin.line));
            }
        }
    }

    static bool overlap(const route& left, const route& right) {
        const auto is_in_right = [&](const std::string& method) {
            return std::ranges::find(right.methods, method) != right.methods.end();
        };
        return left.methods.empty() || right.methods.empty() || std::ranges::any_of(left.methods, is_in_right);
    }

    void check_ambiguous_routes() {
        std::unordered_map<std::string, std::vector<const route*>> by_prefix;
        for (const auto& [name, value] : m_state.routes) {
            std::vector<const route*>& others = by_prefix[value.host + value.path_prefix];
            for (const route* other : others) {
                if (overlap(*other, value)) {
                    begin_section("route", name, value.origin);
                    add_problem(result_code::config_ambiguous_route, "path_prefix",
                                fmt::format("[route {}] ({}:{}) has the same prefix and a common method", other->name,
                                            other->origin.file, other->origin.line));
                    break;
                }
            }
            others.push_back(&value);
        }
    }

    void check_share(const std::string& name, const share& value) {
        begin_section("share", name, value.origin);
        check_names(name, value.service);
        check_service_reference("", value.service);
        for (const auto& [version, weight] : value.weight_by_version) {
            check_version(version, version);
            check_range(version, weight);
        }
        if (value.weight_by_version.size() > max_versions_per_share) {
            add_problem(result_code::config_too_large, "",
                        fmt::format("more than {} versions", max_versions_per_share));
        }
        if (std::ranges::none_of(value.weight_by_version, [](const auto& item) { return item.second > 0; })) {
            add_problem(result_code::config_share_without_weight, "",
                        "at least one version must have a weight above 0");
        }
    }

    void check_move(const std::string& name, const move& value) {
        begin_section("move", name, value.origin);
        check_names(name, value.name);
        check_service_reference("service", value.service);
        check_version("from", value.from_version);
        check_version("to", value.to_version);
        if (value.deadline < earliest_deadline || value.deadline > latest_deadline) {
            add_problem(result_code::config_out_of_range, "deadline", "must be in the years 2000 to 9999");
        }
        if (value.from_version == value.to_version) {
            add_problem(result_code::config_move_conflict, "to", "must differ from 'from'");
            return;
        }
        const auto found = m_state.shares.find(value.service);
        if (found == m_state.shares.end()) {
            return;
        }
        const auto weight = [&](const std::string& version) {
            const auto item = found->second.weight_by_version.find(version);
            return item == found->second.weight_by_version.end() ? 0 : item->second;
        };
        // The move controls the share of the new version; a fixed weight would expose callers to an unproven version.
        if (weight(value.from_version) == 0 || weight(value.to_version) != 0) {
            add_problem(result_code::config_move_conflict, "service",
                        fmt::format("[share {}] ({}:{}) must give '{}' a weight above 0 and '{}' none", value.service,
                                    found->second.origin.file, found->second.origin.line, value.from_version,
                                    value.to_version));
        }
    }

    void check_moves_of_one_service() {
        std::unordered_map<std::string_view, const move*> first_by_service;
        for (const auto& [name, value] : m_state.moves) {
            const auto [first, is_first] = first_by_service.emplace(value.service, &value);
            if (!is_first) {
                begin_section("move", name, value.origin);
                add_problem(result_code::config_move_conflict, "service",
                            fmt::format("[move {}] ({}:{}) moves the same service", first->second->name,
                                        first->second->origin.file, first->second->origin.line));
            }
        }
    }

    void check_names(const std::string& key, const std::string& name) {
        if (key != name || !is_valid_name(name)) {
            add_problem(result_code::config_bad_name, "", name_rule);
        }
        // Daemons receive the origin from each other, so its file name is checked like any other external input.
        if (!is_valid_file_name(m_origin->file) || m_origin->line < 0) {
            add_problem(result_code::config_bad_name, "", "the name of the section's file is not valid");
        }
    }

    void check_version(std::string_view key, const std::string& version) {
        if (!is_valid_name(version)) {
            add_problem(result_code::config_bad_name, key, name_rule);
        }
    }

    void check_service_reference(std::string_view key, const std::string& service) {
        if (!m_state.services.contains(service)) {
            add_problem(result_code::config_unknown_service, key, fmt::format("no section [service {}]", service));
        }
    }

    void check_range(std::string_view key, std::int64_t value) {
        const config_key* row = find_config_key(m_kind, key);
        if (row != nullptr && (value < row->low || value > row->high)) {
            add_problem(result_code::config_out_of_range, key,
                        fmt::format("{} is outside the range {} to {}", value, row->low, row->high));
        }
    }

    void check_number(std::string_view key, double value) {
        const config_key* row = find_config_key(m_kind, key);
        // Written so that a value that is not a number is reported, too.
        if (row != nullptr && !(value >= static_cast<double>(row->low) && value <= static_cast<double>(row->high))) {
            add_problem(result_code::config_out_of_range, key,
                        fmt::format("{} is outside the range {} to {}", value, row->low, row->high));
        }
    }

    /// Checks an optional duration; zero means that it is not given.
    void check_optional(std::string_view key, absl::Duration value) {
        if (value != absl::ZeroDuration()) {
            check_range(key, absl::ToInt64Milliseconds(value));
        }
    }

    void begin_section(std::string_view kind, const std::string& name, const source_line& origin) {
        m_kind = kind;
        m_name = &name;
        m_origin = &origin;
    }

    void add_problem(result_code code, std::string_view key, std::string_view text) {
        const std::string key_text(key);
        const std::string section = fmt::format("{} {}", m_kind, *m_name);
        const source_line place = m_find_line ? m_find_line(section, key_text, *m_origin) : *m_origin;
        m_problems.push_back({code, place.file, place.line, section, key_text, std::string(text)});
    }

    const intended_state& m_state;
    const validator::line_finder& m_find_line;
    std::vector<config_problem> m_problems;
    std::string_view m_kind;
    const std::string* m_name = nullptr;
    const source_line* m_origin = nullptr;
};

} // namespace

std::vector<config_problem> validator::check(const intended_state& state, const line_finder& find_line) {
    return state_check(state, find_line).run();
}

void validator::require_valid(const intended_state& state) {
    throw_if_any(check(state));
}

} // namespace amaranthladder
