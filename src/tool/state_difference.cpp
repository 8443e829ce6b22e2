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
void append_differences(std::string_view kind, const std::map<std::string, Section>& from,
                        const std::map<std::string, Section>& to, std::vector<section_difference>& differences) {
    for (const auto& [name, section] : from) {
        const auto found = to.find(name);
        if (found == to.end()) {
            differences.push_back({"removed", kind, name, section.origin});
        } else if (without_origin(section) != without_origin(found->second)) {
            differences.push_back({"changed", kind, name, found->second.origin});
        }
    }
    for (const auto& [name, section] : to) {
        if (!from.contains(name)) {
            differences.push_back({"added", kind, name, section.origin});
        }
    }
}

} // namespace

std::vector<section_difference> list_differences(const intended_state& from, const intended_state& to) {
    std::vector<section_difference> differences;
    append_differences("service", from.services, to.services, differences);
    append_differences("route", from.routes, to.routes, differences);
    append_differences("share", from.shares, to.shares, differences);
    append_differences("move", from.moves, to.moves, differences);
    append_differences("limits", from.limits, to.limits, differences);
    append_differences("tenant", from.tenants, to.tenants, differences);
    return differences;
}

std::vector<std::string> state_differences(const intended_state& from, const intended_state& to) {
    std::vector<std::string> lines;
    for (const section_difference& difference : list_differences(from, to)) {
        lines.push_back(fmt::format("{} {} {}", difference.change, difference.kind, difference.name));
    }
    return lines;
}

} // namespace amaranthladder
