#pragma once

#include "common/endpoint.h"
#include "common/result_code.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Why an upstream was chosen.
enum class choice_reason {
    none,             ///< The request was refused.
    only_candidate,   ///< No other upstream was available.
    lower_cost,       ///< The cheaper of two random candidates of the entry's own data centre, or of all.
    spilled_over,     ///< The candidates of the own data centre were too busy.
    probe,            ///< The upstream's ejection has ended and the request tests it.
    ejection_ignored, ///< All upstreams that could serve the request are ejected or penalised.
};

/// @return the stable name of @p value.
std::string_view name(choice_reason value);

/// What was known of one candidate when it was compared.
struct candidate_info {
    std::string id;
    double cost = 0;        ///< Expected seconds of waiting per unit of capacity; lower is better.
    int in_flight = 0;      ///< This entry's requests at the upstream.
    absl::Duration latency; ///< Recent latency with peaks weighted up.
};

/// The result of router::choose, with what one log line needs.
struct routing_decision {
    std::string route;
    std::string service;
    std::string version;
    std::string upstream_id;                        ///< Empty on a refusal.
    endpoint owner;                                 ///< HTTP address of the owner daemon.
    endpoint address;                               ///< HTTP address of the upstream, for an owner that chose its own.
    result_code refusal = result_code::no_upstream; ///< ok if an upstream was chosen. Every refusal is "not run".
    choice_reason reason = choice_reason::none;
    int candidate_count = 0; ///< Upstreams of the version that could serve the request.
    std::optional<candidate_info> chosen;
    std::optional<candidate_info> compared; ///< The candidate that lost the comparison, if there was one.

    bool is_refused() const {
        return refusal != result_code::ok;
    }
};

/// @return one line `key=value key=value ...` for the decision log.
std::string to_log_line(const routing_decision& decision);

} // namespace amaranthladder
