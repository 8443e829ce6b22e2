#include "tool/check_finding.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace amaranthladder {

namespace {

constexpr std::array<std::pair<finding_severity, std::string_view>, 3> severity_names{{
    {finding_severity::error, "error"},
    {finding_severity::warning, "warning"},
    {finding_severity::difference, "difference"},
}};

constexpr std::array<std::pair<result_code, std::string_view>, 23> fixes{{
    {result_code::file_unreadable, "check the path and its permissions"},
    {result_code::config_syntax, "write [KIND NAME] or KEY = VALUE"},
    {result_code::config_unknown_section, "use a kind that docs/configuration.md lists"},
    {result_code::config_unknown_key, "remove the key or correct its spelling"},
    {result_code::config_duplicate_key, "keep one of the lines"},
    {result_code::config_missing_key, "add the key"},
    {result_code::config_bad_value, "write a value of the form that docs/configuration.md gives"},
    {result_code::config_out_of_range, "choose a value within the range"},
    {result_code::config_unknown_service, "declare the service or correct its name"},
    {result_code::config_ambiguous_route, "give the routes other prefixes, or methods of which none is common"},
    {result_code::config_too_large, "divide it"},
    {result_code::config_folder_empty, "add a file NAME.ini"},
    {result_code::config_bad_name, "use letters, digits, '.', '_' and '-'"},
    {result_code::config_share_without_weight, "give one of them a weight above 0"},
    {result_code::config_move_conflict, "change the move or the share, or remove one of them"},
    {result_code::config_shared_key, "give one of the tenants a new key"},
    {result_code::check_route_never_matches, "remove the route, or change its prefix or methods"},
    {result_code::check_tenant_without_key, "add keys, or remove the tenant"},
    {result_code::check_share_without_route, "add a route to the service, or remove the section"},
    {result_code::check_target_above_timeout, "lower target_latency_ms or raise timeout_ms"},
    {result_code::check_quota_conflict, "change rate_per_second or burst"},
    {result_code::check_attempts_conflict, "lower max_attempts or raise timeout_ms"},
    {result_code::check_difference, "apply the folder if the difference is intended"},
}};

template <typename Table, typename Key> std::string_view find_text(const Table& table, const Key& key) {
    const auto found = std::ranges::find(table, key, &Table::value_type::first);
    return found == table.end() ? std::string_view{} : found->second;
}

} // namespace

std::string_view name(finding_severity severity) {
    return find_text(severity_names, severity);
}

std::string_view suggested_fix(result_code code) {
    const std::string_view fix = find_text(fixes, code);
    return fix.empty() ? "see docs/result-codes.md" : fix;
}

check_finding make_finding(finding_severity severity, config_problem problem) {
    std::string fix(suggested_fix(problem.code));
    return {severity, std::move(problem), std::move(fix)};
}

check_finding make_warning(const finding_line& line, result_code code, const std::string& section,
                           const std::string& key, const source_line& origin, std::string text) {
    const source_line place = line(section, key, origin);
    return make_finding(finding_severity::warning, {code, place.file, place.line, section, key, std::move(text)});
}

std::string to_string(const check_finding& finding) {
    return fmt::format("{} (fix: {})", to_string(finding.problem), finding.fix);
}

} // namespace amaranthladder
