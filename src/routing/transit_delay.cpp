#include "routing/transit_delay.h"

#include "common/parse_number.h"

#include <fmt/format.h>

#include <algorithm>

namespace amaranthladder {

std::string to_string(const send_stamp& stamp) {
    return fmt::format("{:x}:{}", stamp.process, stamp.sent_ms);
}

std::optional<send_stamp> parse_send_stamp(std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> process = parse_number<std::uint64_t>(text.substr(0, colon), 16);
    const std::optional<std::int64_t> sent_ms = parse_number<std::int64_t>(text.substr(colon + 1));
    return process && sent_ms ? std::optional(send_stamp{*process, *sent_ms}) : std::nullopt;
}

transit_delay_estimator::transit_delay_estimator(transit_delay_policy policy) : m_policy(policy) {}

absl::Duration transit_delay_estimator::observe(const send_stamp& stamp, absl::Time now) {
    const absl::Duration transit = now - absl::FromUnixMillis(stamp.sent_ms);
    auto found = m_senders.find(stamp.process);
    if (found == m_senders.end()) {
        if (m_senders.size() >= m_policy.max_senders) {
            remove_silent_senders(now);
        }
        if (m_senders.size() < m_policy.max_senders) {
            m_senders.emplace(stamp.process, sender{transit, transit, now});
        }
        return absl::ZeroDuration();
    }
    sender& known = found->second;
    if (now - known.window_start > 2 * m_policy.window) {
        // Nothing was heard for a whole window, so the clocks may have drifted apart.
        known = {transit, transit, now};
        return absl::ZeroDuration();
    }
    if (now - known.window_start > m_policy.window) {
        known = {known.shortest, transit, now};
    }
    known.shortest = std::min(known.shortest, transit);
    const absl::Duration delay = transit - std::min(known.shortest, known.shortest_before);
    return delay < m_policy.min_delay ? absl::ZeroDuration() : delay;
}

void transit_delay_estimator::remove_silent_senders(absl::Time now) {
    absl::erase_if(m_senders, [&](const auto& entry) { return now - entry.second.window_start > 2 * m_policy.window; });
}

} // namespace amaranthladder
