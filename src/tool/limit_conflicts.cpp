#include "tool/limit_conflicts.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace amaranthladder {

namespace {

class limit_check {
public:
    limit_check(const intended_state& state, const finding_line& line) : m_state(state), m_line(line) {}

    std::vector<check_finding> run() {
        for (const auto& [name, value] : m_state.routes) {
            check_route(value);
        }
        for (const auto& [name, value] : m_state.tenants) {
            check_tenant(value);
        }
        return std::move(m_findings);
    }

private:
    /// @return the timeout of the requests of a route; the shortest one of a split.
    absl::Duration timeout_of(const route& checked) const {
        if (checked.timeout > absl::ZeroDuration()) {
            return checked.timeout;
        }
        absl::Duration shortest = service_timeout(checked.service);
        for (const auto& [service, weight] : checked.weight_by_service) {
            shortest = weight > 0 ? std::min(shortest, service_timeout(service)) : shortest;
        }
        return shortest;
    }

    absl::Duration service_timeout(const std::string& service) const {
        const auto found = m_state.services.find(service);
        return found == m_state.services.end() || found->second.timeout <= absl::ZeroDuration()
                   ? absl::InfiniteDuration()
                   : found->second.timeout;
    }

    void check_route(const route& checked) {
        const absl::Duration timeout = timeout_of(checked);
        const std::string section = fmt::format("route {}", checked.name);
        if (checked.target_latency > timeout) {
            add(result_code::check_target_above_timeout, section, "target_latency_ms", checked.origin,
                fmt::format("{} ms is above the timeout of {} ms", absl::ToInt64Milliseconds(checked.target_latency),
                            absl::ToInt64Milliseconds(timeout)));
        } else if (checked.max_attempts > 1 && checked.target_latency > absl::ZeroDuration() &&
                   (checked.max_attempts - 1) * checked.target_latency >= timeout) {
            add(result_code::check_attempts_conflict, section, "max_attempts", checked.origin,
                fmt::format("if each of {} attempts takes the target latency of {} ms, the last begins after the "
                            "timeout of {} ms",
                            checked.max_attempts, absl::ToInt64Milliseconds(checked.target_latency),
                            absl::ToInt64Milliseconds(timeout)));
        }
    }

    void check_tenant(const tenant& checked) {
        if (!(checked.burst > 0)) {
            return;
        }
        std::string text;
        if (!checked.has_quota()) {
            text = "a burst without rate_per_second has no effect: there is no limit";
        } else if (checked.burst < 1) {
            text = "a burst of less than one request is never used";
        } else if (checked.burst > checked.rate_per_second * absl::ToDoubleSeconds(max_burst_refill)) {
            text = fmt::format("a burst of {:g} takes {:.0f} s to fill again at {:g} requests a second", checked.burst,
                               checked.burst / checked.rate_per_second, checked.rate_per_second);
        }
        if (!text.empty()) {
            add(result_code::check_quota_conflict, fmt::format("tenant {}", checked.name), "burst", checked.origin,
                std::move(text));
        }
    }

    void add(result_code code, const std::string& section, const std::string& key, const source_line& origin,
             std::string text) {
        m_findings.push_back(make_warning(m_line, code, section, key, origin, std::move(text)));
    }

    const intended_state& m_state;
    const finding_line& m_line;
    std::vector<check_finding> m_findings;
};

} // namespace

std::vector<check_finding> find_limit_conflicts(const intended_state& state, const finding_line& line) {
    return limit_check(state, line).run();
}

} // namespace amaranthladder
