#include "config/state_builder.h"

#include "common/parse_number.h"
#include "config/config_table.h"
#include "config/key_digest.h"
#include "config/validator.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace amaranthladder {

namespace {

/// Parses the values of one section and reports those that are missing or cannot be parsed.
class section_reader {
public:
    section_reader(const merged_section& section, std::vector<config_problem>& problems)
        : m_section(section), m_problems(problems) {}

    void check_keys() const {
        for (const auto& [key, value] : m_section.values) {
            if (find_config_key(m_section.kind, key) == nullptr) {
                add_problem(result_code::config_unknown_key, key, value.origin,
                            fmt::format("unknown key of a [{}] section", m_section.kind));
            }
        }
        for (const config_key& row : config_keys()) {
            if (row.section == m_section.kind && row.is_required && row.key != any_version &&
                !m_section.values.contains(std::string(row.key))) {
                add_problem(result_code::config_missing_key, std::string(row.key), m_section.origin,
                            fmt::format("required ({})", name(row.type)));
            }
        }
    }

    std::string text(const std::string& key) const {
        const merged_value* value = find(key);
        return value == nullptr ? "" : value->text;
    }

    int integer(const std::string& key, int default_value) const {
        const merged_value* value = find(key);
        if (value == nullptr) {
            return default_value;
        }
        int result = 0;
        const char* const end = value->text.data() + value->text.size();
        const auto [parsed_end, failure] = std::from_chars(value->text.data(), end, result);
        if (failure == std::errc::result_out_of_range && parsed_end == end) {
            add_out_of_range(key, *value);
            return default_value;
        }
        if (failure != std::errc{} || parsed_end != end) {
            add_problem(result_code::config_bad_value, key, value->origin,
                        fmt::format("'{}' is not an integer", value->text));
            return default_value;
        }
        return result;
    }

    double number(const std::string& key) const {
        const merged_value* value = find(key);
        if (value == nullptr) {
            return 0;
        }
        const std::optional<double> result = parse_number<double>(value->text);
        if (!result || !std::isfinite(*result) || *result < 0) {
            add_problem(result_code::config_bad_value, key, value->origin,
                        fmt::format("'{}' is not a number of at least 0", value->text));
            return 0;
        }
        return *result;
    }

    absl::Duration milliseconds(const std::string& key) const {
        const int value = integer(key, 0);
        // Zero stands for "not given" in the state, so the validator would accept an explicit 0.
        if (value == 0 && find(key) != nullptr && find(key)->text.find_first_not_of('0') == std::string::npos) {
            add_out_of_range(key, *find(key));
        }
        return absl::Milliseconds(value);
    }

    bool boolean(const std::string& key) const {
        const merged_value* value = find(key);
        if (value != nullptr && value->text != "yes" && value->text != "no") {
            add_problem(result_code::config_bad_value, key, value->origin,
                        fmt::format("'{}' is neither 'yes' nor 'no'", value->text));
        }
        return value != nullptr && value->text == "yes";
    }

    std::vector<std::string> list(const std::string& key) const {
        const merged_value* value = find(key);
        std::vector<std::string> result;
        if (value == nullptr) {
            return result;
        }
        boost::algorithm::split(result, value->text, boost::algorithm::is_any_of(","));
        for (std::string& item : result) {
            boost::algorithm::trim(item);
        }
        std::ranges::sort(result);
        return result;
    }

    /// @param is_idempotent the value of the older key `idempotent`, which applies if @p key is absent.
    route_kind kind(const std::string& key, bool is_idempotent) const {
        const merged_value* value = find(key);
        if (value == nullptr) {
            return is_idempotent ? route_kind::idempotent : route_kind::by_method;
        }
        const std::optional<route_kind> result = parse_route_kind(value->text);
        if (!result) {
            add_problem(result_code::config_bad_value, key, value->origin,
                        fmt::format("'{}' is not a kind of route", value->text));
        }
        return result.value_or(route_kind::by_method);
    }

    /// Reads `NAME WEIGHT, NAME WEIGHT, ...`.
    std::map<std::string, int> weights(const std::string& key) const {
        std::map<std::string, int> result;
        for (const std::string& item : list(key)) {
            const std::size_t space = item.find_last_of(' ');
            const std::string name = boost::algorithm::trim_copy(item.substr(0, space));
            int weight = 0;
            const char* const end = item.data() + item.size();
            const char* const begin = space == std::string::npos ? end : item.data() + space + 1;
            const auto [parsed_end, failure] = std::from_chars(begin, end, weight);
            if (failure != std::errc{} || parsed_end != end || !result.emplace(name, weight).second) {
                add_problem(result_code::config_bad_value, key, find(key)->origin,
                            fmt::format("'{}' is not NAME WEIGHT or repeats a name", item));
            }
        }
        return result;
    }

    absl::Time time(const std::string& key) const {
        const merged_value* value = find(key);
        absl::Time result = absl::UnixEpoch();
        std::string failure;
        if (value == nullptr) {
            return result;
        }
        // absl::ParseTime also accepts spaces, years of other lengths and "infinite-future".
        const bool has_form = value->text.size() >= 20 && value->text[4] == '-' && value->text[10] == 'T' &&
                              value->text.find_first_not_of("0123456789-:.TZ+") == std::string::npos;
        if (!has_form || !absl::ParseTime(absl::RFC3339_full, value->text, &result, &failure)) {
            add_problem(result_code::config_bad_value, key, value->origin,
                        fmt::format("'{}' is not an RFC 3339 time such as 2031-05-17T06:00:00Z", value->text));
        }
        // Snapshots store milliseconds; a finer time would differ from its published form and start a new move.
        return absl::FromUnixMillis(absl::ToUnixMillis(result));
    }

private:
    const merged_value* find(const std::string& key) const {
        const auto found = m_section.values.find(key);
        return found == m_section.values.end() ? nullptr : &found->second;
    }

    void add_out_of_range(const std::string& key, const merged_value& value) const {
        const config_key* row = find_config_key(m_section.kind, key);
        add_problem(result_code::config_out_of_range, key, value.origin,
                    fmt::format("{} is outside the range {} to {}", value.text, row->low, row->high));
    }

    void add_problem(result_code code, const std::string& key, const source_line& origin,
                     const std::string& text) const {
        m_problems.push_back(
            {code, origin.file, origin.line, fmt::format("{} {}", m_section.kind, m_section.name), key, text});
    }

    const merged_section& m_section;
    std::vector<config_problem>& m_problems;
};

} // namespace

source_line checked_folder::line_of(const std::string& section, const std::string& key,
                                    const source_line& origin) const {
    const auto found = sections.find(section);
    if (found == sections.end()) {
        return origin;
    }
    const auto value = found->second.values.find(key);
    return value == found->second.values.end() ? origin : value->second.origin;
}

state_builder::state_builder(const merged_folder& folder, std::vector<config_problem>& problems)
    : m_folder(folder), m_problems(problems) {}

intended_state state_builder::build() {
    m_state = {};
    for (const auto& [text, section] : m_folder) {
        section_reader(section, m_problems).check_keys();
        if (section.kind == "service") {
            read_service(section);
        } else if (section.kind == "route") {
            read_route(section);
        } else if (section.kind == "share") {
            read_share(section);
        } else if (section.kind == "limits") {
            read_limits(section);
        } else if (section.kind == "tenant") {
            read_tenant(section);
        } else {
            read_move(section);
        }
    }
    return std::move(m_state);
}

void state_builder::read_service(const merged_section& section) {
    constexpr int default_queue_limit = 16;
    const section_reader reader(section, m_problems);
    service value;
    value.name = section.name;
    value.timeout = reader.milliseconds("timeout_ms");
    value.queue_limit = reader.integer("queue_limit", default_queue_limit);
    value.max_connections = reader.integer("max_connections", 0);
    value.health_path = reader.text("health_path");
    value.cold_start = reader.milliseconds("cold_start_ms");
    value.cold_rate = reader.number("cold_rate_per_second");
    value.origin = section.origin;
    m_state.services.emplace(section.name, std::move(value));
}

void state_builder::read_route(const merged_section& section) {
    const section_reader reader(section, m_problems);
    route value;
    value.name = section.name;
    value.host = reader.text("host");
    value.service = reader.text("service");
    value.weight_by_service = reader.weights("split");
    value.path_prefix = reader.text("path_prefix");
    value.needs_subpath = reader.boolean("needs_subpath");
    value.methods = reader.list("methods");
    value.kind = reader.kind("kind", reader.boolean("idempotent"));
    value.timeout = reader.milliseconds("timeout_ms");
    value.target_latency = reader.milliseconds("target_latency_ms");
    value.max_attempts = reader.integer("max_attempts", 0);
    value.priority = reader.integer("priority", 0);
    value.allows_anonymous = reader.boolean("allow_anonymous");
    value.origin = section.origin;
    m_state.routes.emplace(section.name, std::move(value));
}

void state_builder::read_share(const merged_section& section) {
    const section_reader reader(section, m_problems);
    share value;
    value.service = section.name;
    for (const auto& [version, text] : section.values) {
        value.weight_by_version.emplace(version, reader.integer(version, 1));
    }
    value.origin = section.origin;
    m_state.shares.emplace(section.name, std::move(value));
}

void state_builder::read_limits(const merged_section& section) {
    const section_reader reader(section, m_problems);
    caller_limits value;
    value.name = section.name;
    value.max_header_bytes = static_cast<std::size_t>(reader.integer("max_header_bytes", 0));
    value.max_body_bytes = static_cast<std::uint64_t>(reader.integer("max_body_bytes", 0));
    value.header_timeout = reader.milliseconds("header_timeout_ms");
    value.idle_timeout = reader.milliseconds("idle_timeout_ms");
    value.origin = section.origin;
    m_state.limits.emplace(section.name, std::move(value));
}

void state_builder::read_tenant(const merged_section& section) {
    constexpr int no_priority = -1;
    const section_reader reader(section, m_problems);
    tenant value;
    value.name = section.name;
    value.key_digests = reader.list("keys");
    for (std::string& key : value.key_digests) {
        // An empty key has no digest, which the validator reports.
        key = key.empty() ? "" : key_digest(key);
    }
    std::ranges::sort(value.key_digests);
    const int priority = reader.integer("priority", no_priority);
    if (section.values.contains("priority")) {
        value.priority = priority;
    }
    value.rate_per_second = reader.number("rate_per_second");
    value.burst = reader.number("burst");
    value.origin = section.origin;
    m_state.tenants.emplace(section.name, std::move(value));
}

void state_builder::read_move(const merged_section& section) {
    const section_reader reader(section, m_problems);
    move value;
    value.name = section.name;
    value.service = reader.text("service");
    value.from_version = reader.text("from");
    value.to_version = reader.text("to");
    value.deadline = reader.time("deadline");
    value.origin = section.origin;
    m_state.moves.emplace(section.name, std::move(value));
}

checked_folder state_builder::build_checked(const std::vector<config_file>& files) {
    checked_folder result;
    result.sections = folder_merger::merge(files, result.problems);
    result.state = state_builder(result.sections, result.problems).build();
    std::set<std::pair<std::string, std::string>> reported;
    for (const config_problem& problem : result.problems) {
        reported.emplace(problem.section, problem.key);
    }
    const auto line_of = [&result](const std::string& section, const std::string& key, const source_line& origin) {
        return result.line_of(section, key, origin);
    };
    // A value that was already reported is replaced by a default; a problem with that default would be a consequence.
    for (config_problem& problem : validator::check(result.state, line_of)) {
        if (!reported.contains({problem.section, problem.key})) {
            result.problems.push_back(std::move(problem));
        }
    }
    return result;
}

intended_state state_builder::build_valid(const std::vector<config_file>& files) {
    checked_folder result = build_checked(files);
    throw_if_any(std::move(result.problems));
    return std::move(result.state);
}

} // namespace amaranthladder
