#include "tool/folder_check.h"

#include "config/state_builder.h"
#include "tool/limit_conflicts.h"
#include "tool/state_difference.h"
#include "tool/unreachable_entries.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace amaranthladder {

namespace {

check_finding make_difference(const section_difference& difference) {
    const std::string section = fmt::format("{} {}", difference.kind, difference.name);
    return make_finding(finding_severity::difference,
                        {result_code::check_difference, difference.origin.file, difference.origin.line, section, "",
                         std::string(difference.change)});
}

} // namespace

result_code check_report::code() const {
    return findings.empty() ? result_code::ok : findings.front().problem.code;
}

check_report folder_check::run(const std::vector<config_file>& files, const intended_state* base) {
    checked_folder folder = state_builder::build_checked(files);
    const intended_state& state = folder.state;
    const finding_line line = [&folder](const std::string& section, const std::string& key, const source_line& origin) {
        return folder.line_of(section, key, origin);
    };
    check_report report{
        {}, state.services.size(), state.routes.size(), state.shares.size(), state.moves.size(), state.tenants.size()};
    for (config_problem& problem : folder.problems) {
        report.findings.push_back(make_finding(finding_severity::error, std::move(problem)));
    }
    std::ranges::move(find_unreachable_entries(state, line), std::back_inserter(report.findings));
    std::ranges::move(find_limit_conflicts(state, line), std::back_inserter(report.findings));
    if (base != nullptr) {
        std::ranges::transform(list_differences(*base, state), std::back_inserter(report.findings), make_difference);
    }
    std::ranges::stable_sort(report.findings, [](const check_finding& left, const check_finding& right) {
        return std::tie(left.severity, left.problem.file, left.problem.line) <
               std::tie(right.severity, right.problem.file, right.problem.line);
    });
    return report;
}

} // namespace amaranthladder
