#include "config/config_problem.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace amaranthladder {

namespace {

std::vector<config_problem> sorted(std::vector<config_problem> problems) {
    std::ranges::stable_sort(problems, [](const config_problem& left, const config_problem& right) {
        return std::tie(left.file, left.line) < std::tie(right.file, right.line);
    });
    return problems;
}

std::string joined(const std::vector<config_problem>& problems) {
    std::string result = fmt::format("{} {}", problems.size(), problems.size() == 1 ? "problem" : "problems");
    for (const config_problem& problem : problems) {
        result += '\n';
        result += to_string(problem);
    }
    return result;
}

} // namespace

std::string to_string(const config_problem& problem) {
    std::string place = problem.file;
    if (problem.line > 0) {
        place += fmt::format(":{}", problem.line);
    }
    if (!place.empty()) {
        place += ": ";
    }
    std::string subject;
    if (!problem.section.empty()) {
        subject += fmt::format("[{}]{}", problem.section, problem.key.empty() ? ": " : " ");
    }
    if (!problem.key.empty()) {
        subject += fmt::format("{}: ", problem.key);
    }
    return fmt::format("{}{} {}: {}{}", place, static_cast<int>(problem.code), name(problem.code), subject,
                       problem.text);
}

config_error_list::config_error_list(std::vector<config_problem> problems)
    : error(problems.empty() ? result_code::internal_error : sorted(problems).front().code, joined(sorted(problems))),
      m_problems(sorted(std::move(problems))) {}

void throw_if_any(std::vector<config_problem> problems) {
    if (!problems.empty()) {
        throw config_error_list(std::move(problems));
    }
}

} // namespace amaranthladder
