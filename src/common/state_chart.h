#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// A state chart, parsed from an INI text.
///
/// Each section is a state; `on.EVENT = TARGET` is a transition, `initial = yes` marks the one initial state and
/// `final = yes` a state without transitions. The constructor validates the chart: unknown targets, missing targets and
/// unreachable states are errors, so a program never starts with an invalid chart.
class state_chart {
public:
    /// @param chart_name name of the chart, for error messages.
    /// @param text the chart's text.
    /// @throws error with a result_code between chart_syntax and chart_missing_target.
    state_chart(std::string chart_name, std::string_view text);

    /// @param chart_name name of a file in charts/, without extension.
    /// @return the chart embedded in the program at build time.
    /// @throws error with result_code::chart_missing, or as the constructor.
    static state_chart embedded(const std::string& chart_name);

    const std::string& initial() const {
        return m_initial;
    }

    /// @return true if @p state is declared.
    bool has_state(std::string_view state) const;

    /// @return true if @p state is final.
    /// @throws error with result_code::chart_unknown_state.
    bool is_final(std::string_view state) const;

    /// @return the target state of @p event in @p state, or nothing if there is no such transition.
    /// @throws error with result_code::chart_unknown_state.
    std::optional<std::string> target(std::string_view state, std::string_view event) const;

    /// @return the names of all states.
    std::vector<std::string> states() const;

private:
    struct state_definition {
        std::map<std::string, std::string, std::less<>> targets;
        bool is_final = false;
    };

    void parse(std::string_view text);
    void parse_key(state_definition& state, std::string_view state_name, std::string_view key, std::string_view value);
    void validate() const;
    void check_reachability() const;
    const state_definition& definition(std::string_view state) const;

    std::string m_name;
    std::string m_initial;
    std::map<std::string, state_definition, std::less<>> m_states;
};

} // namespace amaranthladder
