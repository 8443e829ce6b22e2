#include "tool/unreachable_entries.h"

#include "config/name_rules.h"
#include "routing/route_table.h"

#include <absl/container/flat_hash_set.h>

#include <fmt/format.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthladder {

namespace {

/// A path segment that no prefix can have, so that only the prefix decides about a path with it.
constexpr std::string_view other_segment = "/%";
/// Stands for the methods that no route can name.
constexpr std::string_view other_method = "OTHER";

class reachability {
public:
    reachability(const intended_state& state, const finding_line& line)
        : m_state(state), m_line(line),
          m_table(std::shared_ptr<const intended_state>(std::shared_ptr<void>(), &state)) {}

    std::vector<check_finding> run() {
        for (const auto& [name, value] : m_state.routes) {
            check_route(value);
        }
        for (const auto& [name, value] : m_state.tenants) {
            if (value.key_digests.empty()) {
                add(result_code::check_tenant_without_key, fmt::format("tenant {}", name), "keys", value.origin,
                    "no request can be one of this tenant");
            }
        }
        check_services();
        return std::move(m_findings);
    }

private:
    void check_route(const route& checked) {
        const route* taken_by = nullptr;
        for (const std::string_view path_end : {std::string_view(), other_segment}) {
            const std::string_view prefix = checked.path_prefix == "/" ? "" : std::string_view(checked.path_prefix);
            const bool is_root = prefix.empty() && path_end.empty();
            const std::string path = is_root ? "/" : fmt::format("{}{}", prefix, path_end);
            std::vector<std::string_view> methods(checked.methods.begin(), checked.methods.end());
            if (methods.empty()) {
                methods.assign(route_methods().begin(), route_methods().end());
                methods.push_back(other_method);
            }
            for (const std::string_view method : methods) {
                const route* const found = m_table.match(checked.host, method, path).matched.get();
                if (found == &checked) {
                    return;
                }
                taken_by = found == nullptr ? taken_by : found;
            }
        }
        add(result_code::check_route_never_matches, fmt::format("route {}", checked.name), "path_prefix",
            checked.origin,
            taken_by == nullptr ? "no request can match it"
                                : fmt::format("[route {}] ({}:{}) takes all its requests", taken_by->name,
                                              taken_by->origin.file, taken_by->origin.line));
    }

    void check_services() {
        absl::flat_hash_set<std::string_view> routed;
        for (const auto& [name, value] : m_state.routes) {
            routed.insert(value.service);
            for (const auto& [service, weight] : value.weight_by_service) {
                routed.insert(service);
            }
        }
        for (const auto& [name, value] : m_state.shares) {
            if (!routed.contains(name)) {
                add(result_code::check_share_without_route, fmt::format("share {}", name), "", value.origin,
                    "no route names the service");
            }
        }
        for (const auto& [name, value] : m_state.moves) {
            if (!routed.contains(value.service)) {
                add(result_code::check_share_without_route, fmt::format("move {}", name), "service", value.origin,
                    fmt::format("no route names the service {}", value.service));
            }
        }
    }

    void add(result_code code, const std::string& section, const std::string& key, const source_line& origin,
             std::string text) {
        m_findings.push_back(make_warning(m_line, code, section, key, origin, std::move(text)));
    }

    const intended_state& m_state;
    const finding_line& m_line;
    route_table m_table; ///< Of the daemon, so that the check cannot disagree with it.
    std::vector<check_finding> m_findings;
};

} // namespace

std::vector<check_finding> find_unreachable_entries(const intended_state& state, const finding_line& line) {
    return reachability(state, line).run();
}

} // namespace amaranthladder
