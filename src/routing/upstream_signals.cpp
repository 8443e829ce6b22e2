#include "routing/upstream_signals.h"

#include "common/parse_number.h"

#include <cmath>
#include <optional>

namespace amaranthladder {

std::optional<double> parse_rate_limit(std::string_view text) {
    const std::optional<double> rate = parse_number<double>(text);
    return rate && std::isfinite(*rate) && !std::signbit(*rate) ? rate : std::nullopt;
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
