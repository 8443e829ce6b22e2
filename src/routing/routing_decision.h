#pragma once

#include "common/endpoint.h"
#include "common/result_code.h"
#include "routing/completion_estimate.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Why an upstream was chosen.
enum class choice_reason {
    none,             ///< The request was refused.
    only_candidate,   ///< No other upstream was available.
    lower_cost,       ///< Lower cost of two random local candidates, or of two remote ones if none is local.
    spilled_over,     ///< The local candidates were too busy or too slow.
    probe,            ///< The upstream's ejection time is over and the request probes it.
    ejection_ignored, ///< All upstreams that can serve the request are ejected, penalised or may be unreachable.
};

/// @return the name of @p value in logs.
std::string_view name(choice_reason value);

/// What the router knew of a candidate when it compared it.
struct candidate_info {
    std::string id;
    double cost = 0;                ///< Expected latency in seconds, weighted with the load; lower is better.
    int in_flight = 0;              ///< Requests of this entry at the upstream.
    absl::Duration latency;         ///< Value of latency_average.
    completion_estimate parts = {}; ///< Expected latency by its parts; zero without reports of owners.
    absl::Duration excess = {};     ///< Time by which recent responses came later than expected.
    double work_factor = 1;         ///< Time that work takes there now, relative to the usual one.
    double link_utilisation = 0;    ///< Of the link of the upstream's host.

    /// @return the latency that the reports of the owner let expect; zero without any.
    absl::Duration expected() const {
        return parts.total();
    }
};

/// Result of router::choose, with the reasons for the log.
struct routing_decision {
    std::string route;
    std::string service;
    std::string version;
    std::string upstream_id; ///< Empty if refused.
    endpoint owner;          ///< HTTP address of the owner daemon.
    endpoint address;        ///< HTTP address of the upstream, for use if this daemon is its owner.
    result_code refusal = result_code::no_upstream; ///< ok if an upstream was chosen. All refusals mean "not run".
    choice_reason reason = choice_reason::none;
    int candidate_count = 0;      ///< Upstreams of the version that were considered.
    double leave_probability = 0; ///< With which the request was to leave its data centre, see data_center_choice.
    bool is_local = true;         ///< The upstream is in the data centre of the entry.
    std::optional<candidate_info> chosen;
    std::optional<candidate_info> compared; ///< The candidate that lost the comparison, if there was one.

    bool is_refused() const {
        return refusal != result_code::ok;
    }
};

/// @return the decision as a log line `key=value key=value ...`.
std::string to_log_line(const routing_decision& decision);

} // namespace amaranthladder
