#include "tool/state_difference.h"

#include <fmt/format.h>

namespace amaranthladder {

namespace {

template <typename Section> Section without_origin(Section section) {
    section.origin = {};
    return section;
}

template <> move without_origin(move section) {
    section.origin = {};
    section.introduced_in = 0;
    return section;
}

template <typename Section>
void compare(const char* kind, const std::map<std::string, Section>& from, const std::map<std::string, Section>& to,
             std::vector<std::string>& lines) {
    for (const auto& [name, section] : from) {
        const auto found = to.find(name);
        if (found == to.end()) {
            lines.push_back(fmt::format("removed {} {}", kind, name));
        } else if (without_origin(section) != without_origin(found->second)) {
            lines.push_back(fmt::format("changed {} {}", kind, name));
        }
    }
    for (const auto& [name, section] : to) {
        if (!from.contains(name)) {
            lines.push_back(fmt::format("added {} {}", kind, name));
        }
    }
}

} // namespace

std::vector<std::string> state_differences(const intended_state& from, const intended_state& to) {
    std::vector<std::string> lines;
    compare("service", from.services, to.services, lines);
    compare("route", from.routes, to.routes, lines);
    compare("share", from.shares, to.shares, lines);
    compare("move", from.moves, to.moves, lines);
    compare("limits", from.limits, to.limits, lines);
    return lines;
}

} // namespace amaranthladder
