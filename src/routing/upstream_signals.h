#pragma once

#include "routing/server_load.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// What an upstream says of itself in a response, beside its announcements.
struct upstream_signals {
    std::optional<double> rate_limit; ///< Requests per second that it takes from all callers together.
    bool is_rate_limit_malformed = false;
    std::optional<server_load_report> server_load;
    bool is_server_load_malformed = false;
    bool is_leaving = false; ///< It accepts no new requests and ends soon.
};

/// What an upstream says of itself in the response to a health check.
struct health_signals {
    /// Time for which it is still cold, zero if it is warm; empty if the response does not say so.
    std::optional<absl::Duration> remaining_cold = {};
    std::optional<double> rate_limit = {}; ///< Requests per second that it takes from all callers together.
    std::string server_load = {};          ///< As parse_server_load reads it; empty if the response does not state it.
};

/// @param text a decimal number of requests per second.
/// @return the rate, or nothing if the text is not a finite number of at least 0.
std::optional<double> parse_rate_limit(std::string_view text);

/// The request rate that an upstream asks for, as its owner concludes it from the responses.
///
/// Responses to concurrent requests can overtake each other, so a limit is raised or lifted only by the response to a
/// request that was sent after the limit was last named. A lower limit applies at once.
class requested_rate_limit {
public:
    /// Records a response that the upstream itself has made.
    /// @param named the limit in the response; nothing if it names none.
    /// @param sent_at when the request was sent.
    /// @param now current time.
    /// @return true if value() has changed.
    bool observe(std::optional<double> named, absl::Time sent_at, absl::Time now);

    /// @return the limit in requests per second, if there is one.
    std::optional<double> value() const {
        return m_value;
    }

    /// @return when a response last named the present limit.
    absl::Time named_at() const {
        return m_named_at;
    }

private:
    std::optional<double> m_value;
    absl::Time m_named_at = absl::InfinitePast();
};

} // namespace amaranthladder
