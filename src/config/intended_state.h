#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Position of a section or value in the configuration folder.
struct source_line {
    std::string file;
    int line = 0;

    friend bool operator==(const source_line&, const source_line&) = default;
};

/// A group of upstreams that serve the same routes.
struct service {
    std::string name;
    absl::Duration timeout; ///< Deadline of a request whose caller gives none.
    int queue_limit = 0;    ///< Requests that may wait at one upstream while all its slots are taken.
    source_line origin;
    int max_connections = 0;        ///< Connections that one upstream accepts from all callers together; 0: no limit.
    std::string health_path = {};   ///< Path of the health check of an upstream; empty: none.
    absl::Duration cold_start = {}; ///< Time for which an upstream is cold after its start; zero: not stated.
    double cold_rate = 0;           ///< Requests per second that a cold upstream tolerates; 0: not stated.

    /// @return true if upstreams of the service tolerate only a limited rate while they are cold.
    bool limits_cold_upstreams() const {
        return cold_rate > 0;
    }

    friend bool operator==(const service&, const service&) = default;
};

/// Whether the requests of a route may be repeated.
enum class route_kind {
    by_method,      ///< The HTTP method decides.
    idempotent,     ///< Any method may be repeated.
    non_idempotent, ///< No method may be repeated once it may have run.
    download,       ///< Large responses; any method may be repeated.
    upload,         ///< Large bodies; no method may be repeated once it may have run.
};

/// @return the name of @p kind in configuration files and snapshots.
std::string_view name(route_kind kind);

/// @return the kind with the name @p text, or nothing.
std::optional<route_kind> parse_route_kind(std::string_view text);

/// Sends requests with a path prefix to a service.
struct route {
    std::string name;
    std::string service;              ///< The service, or the first one of a split.
    std::string path_prefix;          ///< Matches whole path segments; the longest matching prefix wins.
    std::vector<std::string> methods; ///< Empty: every method.
    route_kind kind = route_kind::by_method;
    absl::Duration timeout; ///< Zero: the service's timeout.
    source_line origin;
    std::string host = {};                             ///< Host that the request names; empty: every host.
    std::map<std::string, int> weight_by_service = {}; ///< Divides the requests; empty: all to `service`.
    bool needs_subpath = false;                        ///< The prefix itself, without a slash after it, does not match.
    absl::Duration target_latency = {};                ///< Responses are wanted within this time; zero: not stated.
    int max_attempts = 0;          ///< Upstreams that one request may be sent to; 0: the daemon's limit.
    int priority = 0;              ///< 0 is the most urgent.
    bool allows_anonymous = false; ///< If there are tenants, requests without a tenant's key are served too.

    /// @return true if a request with this method may be sent again although it may have run.
    bool may_repeat(bool is_idempotent_method) const {
        return kind == route_kind::by_method ? is_idempotent_method
                                             : kind != route_kind::non_idempotent && kind != route_kind::upload;
    }

    friend bool operator==(const route&, const route&) = default;
};

/// Divides a service's requests among the versions of its upstreams.
struct share {
    std::string service;
    std::map<std::string, int> weight_by_version; ///< 0 to 1000; at least one is above 0.
    source_line origin;

    friend bool operator==(const share&, const share&) = default;
};

/// Shifts a service's requests from one version to another by a deadline.
struct move {
    std::string name;
    std::string service;
    std::string from_version; ///< Empty for an order from the store: every other version.
    std::string to_version;
    absl::Time deadline;
    std::uint64_t introduced_in = 0; ///< Configuration version that introduced the move in its present form.
    source_line origin;

    /// @return true if the move shifts requests away from @p version.
    bool is_from(std::string_view version) const {
        return from_version.empty() ? version != to_version : version == from_version;
    }

    friend bool operator==(const move&, const move&) = default;
};

/// Size and time limits for requests of callers. 0 stands for the daemon's own setting.
struct caller_limits {
    std::string name; ///< Always caller_limits_name.
    std::size_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;
    absl::Duration header_timeout; ///< From the first byte of a request to the end of its headers.
    absl::Duration idle_timeout;   ///< Between two requests of a connection.
    source_line origin;

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// A customer of the mesh, whose callers identify themselves with a key.
struct tenant {
    std::string name;
    std::vector<std::string> key_digests; ///< Digests of the keys (key_digest), sorted. The keys are never kept.
    std::optional<int> priority;          ///< Goes before the priority of the route; 0 is the most urgent.
    double rate_per_second = 0;           ///< Requests per second over all daemons; 0: no limit.
    double burst = 0;                     ///< Requests beyond the rate that may come at once.
    source_line origin;

    /// @return true if the tenant's requests are limited.
    bool has_quota() const {
        return rate_per_second > 0;
    }

    friend bool operator==(const tenant&, const tenant&) = default;
};

/// Name of the only section of kind `limits`.
inline constexpr std::string_view caller_limits_name = "callers";

/// The merged content of a configuration folder.
struct intended_state {
    std::map<std::string, service> services;
    std::map<std::string, route> routes;
    std::map<std::string, share> shares; ///< By service.
    std::map<std::string, move> moves;
    std::map<std::string, caller_limits> limits; ///< At most the one named caller_limits_name.
    std::map<std::string, tenant> tenants;       ///< Empty: callers need no key.

    friend bool operator==(const intended_state&, const intended_state&) = default;
};

} // namespace amaranthladder
