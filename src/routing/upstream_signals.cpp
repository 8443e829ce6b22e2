#include "routing/upstream_signals.h"

#include <charconv>
#include <cmath>

namespace amaranthladder {

std::optional<double> parse_rate_limit(std::string_view text) {
    double rate = 0;
    const char* const end = text.data() + text.size();
    const auto [parsed_end, failure] = std::from_chars(text.data(), end, rate);
    const bool is_valid =
        !text.empty() && failure == std::errc{} && parsed_end == end && std::isfinite(rate) && !std::signbit(rate);
    return is_valid ? std::optional(rate) : std::nullopt;
}

bool requested_rate_limit::observe(std::optional<double> named, absl::Time sent_at, absl::Time now) {
    const bool is_lower = named && (!m_value || *named < *m_value);
    const bool is_same = named == m_value;
    if (!is_lower && !is_same && sent_at <= m_named_at) {
        return false;
    }
    m_value = named;
    if (named) {
        m_named_at = now;
    }
    return !is_same;
}

} // namespace amaranthladder
