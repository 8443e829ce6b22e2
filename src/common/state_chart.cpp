#include "common/state_chart.h"

#include "common/embedded_charts.h"
#include "common/error.h"

#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

#include <sstream>
#include <utility>

namespace amaranthladder {

state_chart::state_chart(std::string chart_name, std::string_view text) : m_name(std::move(chart_name)) {
    parse(text);
    validate();
}

state_chart state_chart::embedded(const std::string& chart_name) {
    const auto& charts = embedded_charts();
    const auto found = charts.find(chart_name);
    if (found == charts.end()) {
        throw error(result_code::chart_missing, fmt::format("no chart named '{}'", chart_name));
    }
    return {chart_name, found->second};
}

bool state_chart::has_state(std::string_view state) const {
    return m_states.contains(state);
}

bool state_chart::is_final(std::string_view state) const {
    return definition(state).is_final;
}

std::optional<std::string> state_chart::target(std::string_view state, std::string_view event) const {
    const auto& targets = definition(state).targets;
    const auto found = targets.find(event);
    if (found == targets.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<std::string> state_chart::states() const {
    std::vector<std::string> names;
    names.reserve(m_states.size());
    for (const auto& [state_name, state] : m_states) {
        names.push_back(state_name);
    }
    return names;
}

void state_chart::parse(std::string_view text) {
    state_definition* current = nullptr;
    std::string current_name;
    int line_number = 0;
    std::istringstream lines{std::string(text)};
    std::string line;
    while (std::getline(lines, line)) {
        ++line_number;
        boost::algorithm::trim(line);
        if (line.empty() || line.front() == '#' || line.front() == ';') {
            continue;
        }
        if (line.front() == '[' && line.back() == ']') {
            current_name = line.substr(1, line.size() - 2);
            current = &m_states[current_name];
            continue;
        }
        const auto equals = line.find('=');
        if (current == nullptr || equals == std::string::npos) {
            throw error(result_code::chart_syntax,
                        fmt::format("{}:{}: neither a state nor a key with a value: '{}'", m_name, line_number, line));
        }
        parse_key(*current, current_name, boost::algorithm::trim_copy(line.substr(0, equals)),
                  boost::algorithm::trim_copy(line.substr(equals + 1)));
    }
}

void state_chart::parse_key(state_definition& state, std::string_view state_name, std::string_view key,
                            std::string_view value) {
    if (key == "initial" && value == "yes" && m_initial.empty()) {
        m_initial = std::string(state_name);
        return;
    }
    if (key == "final" && value == "yes") {
        state.is_final = true;
        return;
    }
    constexpr std::string_view prefix = "on.";
    if (!key.starts_with(prefix) || key.size() == prefix.size()) {
        throw error(result_code::chart_syntax, fmt::format("{}: [{}] invalid key '{}'", m_name, state_name, key));
    }
    key.remove_prefix(prefix.size());
    if (value.empty()) {
        throw error(result_code::chart_missing_target,
                    fmt::format("{}: [{}] on.{} has no target", m_name, state_name, key));
    }
    if (!state.targets.emplace(std::string(key), std::string(value)).second) {
        throw error(result_code::chart_syntax,
                    fmt::format("{}: [{}] on.{} is declared twice", m_name, state_name, key));
    }
}

void state_chart::validate() const {
    if (m_initial.empty()) {
        throw error(result_code::chart_syntax, fmt::format("{}: no initial state", m_name));
    }
    for (const auto& [state_name, state] : m_states) {
        if (state.is_final && !state.targets.empty()) {
            throw error(result_code::chart_syntax, fmt::format("{}: final [{}] has transitions", m_name, state_name));
        }
        for (const auto& [event, target_name] : state.targets) {
            if (!has_state(target_name)) {
                throw error(result_code::chart_unknown_state,
                            fmt::format("{}: [{}] on.{} leads to undeclared state '{}'", m_name, state_name, event,
                                        target_name));
            }
        }
    }
    check_reachability();
}

void state_chart::check_reachability() const {
    std::set<std::string> reached{m_initial};
    std::vector<std::string> pending{m_initial};
    while (!pending.empty()) {
        const std::string state_name = pending.back();
        pending.pop_back();
        for (const auto& [event, target_name] : definition(state_name).targets) {
            if (reached.insert(target_name).second) {
                pending.push_back(target_name);
            }
        }
    }
    for (const auto& [state_name, state] : m_states) {
        if (!reached.contains(state_name)) {
            throw error(result_code::chart_unreachable_state,
                        fmt::format("{}: [{}] cannot be reached", m_name, state_name));
        }
    }
}

const state_chart::state_definition& state_chart::definition(std::string_view state) const {
    const auto found = m_states.find(state);
    if (found == m_states.end()) {
        throw error(result_code::chart_unknown_state, fmt::format("{}: [{}] is not declared", m_name, state));
    }
    return found->second;
}

} // namespace amaranthladder
