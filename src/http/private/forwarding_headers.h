#pragma once

#include "common/asio_types.h"
#include "http/header_names.h"
#include "routing/router.h"
#include "routing/tenant_directory.h"
#include "routing/transit_delay.h"
#include "routing/upstream_signals.h"

#include <absl/time/time.h>

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Names of the headers that entry daemons, owner daemons and upstreams exchange.
namespace header {
inline constexpr std::string_view prefix = "x-amaranthladder-";
inline constexpr std::string_view mesh = "x-amaranthladder-mesh";
inline constexpr std::string_view request_id = "x-amaranthladder-request-id";
inline constexpr std::string_view deadline_ms = "x-amaranthladder-deadline-ms";
inline constexpr std::string_view hop = "x-amaranthladder-hop";
inline constexpr std::string_view route = "x-amaranthladder-route";
inline constexpr std::string_view upstream = "x-amaranthladder-upstream";
inline constexpr std::string_view attempt = "x-amaranthladder-attempt";
inline constexpr std::string_view outcome = "x-amaranthladder-outcome";
inline constexpr std::string_view code = "x-amaranthladder-code";
inline constexpr std::string_view load = "x-amaranthladder-load";
inline constexpr std::string_view caller_service = "x-amaranthladder-caller-service";
inline constexpr std::string_view repeatable = "x-amaranthladder-repeatable";
inline constexpr std::string_view priority = "x-amaranthladder-priority";
inline constexpr std::string_view target_ms = "x-amaranthladder-target-ms";
inline constexpr std::string_view reached_upstream = "x-amaranthladder-reached-upstream";
inline constexpr std::string_view service_us = "x-amaranthladder-service-us";
inline constexpr std::string_view route_us = "x-amaranthladder-route-us";
inline constexpr std::string_view rate_limit = "x-amaranthladder-rate-limit";
inline constexpr std::string_view leaving = "x-amaranthladder-leaving";
inline constexpr std::string_view tenant = "x-amaranthladder-tenant";
inline constexpr std::string_view key_digest = "x-amaranthladder-key-digest";
inline constexpr std::string_view nested = "x-amaranthladder-nested";
inline constexpr std::string_view speed = "x-amaranthladder-speed";
inline constexpr std::string_view link = "x-amaranthladder-link";
inline constexpr std::string_view link_mbps = "x-amaranthladder-link-mbps";
inline constexpr std::string_view sent = "x-amaranthladder-sent";
inline constexpr std::string_view wait_ms = "x-amaranthladder-wait-ms";
inline constexpr std::string_view backlog_ms = "x-amaranthladder-backlog-ms";
} // namespace header

/// Values of the headers that describe a request's path through the mesh.
struct forwarding_info {
    std::string mesh;
    std::string request_id;
    std::optional<absl::Duration> time_left;
    int hop = 0;
    std::string route;
    std::string upstream; ///< Set by an entry daemon; the receiver is the owner of this upstream.
    int attempt = 0;
    std::string caller_service;                     ///< Service that runs on the caller's host.
    bool is_idempotent = false;                     ///< The request may be executed more than once.
    int priority = 0;                               ///< 0 is the most urgent.
    std::optional<absl::Duration> target_time_left; ///< Time left of the route's target latency.
    std::string tenant;                             ///< Tenant that holds the caller's key; empty: none.
    presented_key key;                              ///< From another daemon, only the digest.
    bool is_nested = false;                         ///< Sent by an upstream while it runs a request of a caller.
    std::optional<send_stamp> sent;                 ///< When the entry sent it; the times left count from then.

    /// @return true if an entry daemon sent the request to its owner.
    bool is_from_entry() const {
        return !upstream.empty();
    }
};

/// Parses the forwarding headers of a request that another daemon sent.
/// @throws error with result_code::request_malformed if a number cannot be read.
forwarding_info read_forwarding_headers(const http::fields& fields);

/// Parses the headers of a caller's request. Only the id, the time left and the hop count are read, since the other
/// forwarding headers of a caller are not trusted.
/// @param names the names of the headers.
/// @throws error with result_code::request_malformed if a number cannot be read.
forwarding_info read_caller_headers(const http::fields& fields, const header_names& names);

/// Sets the headers for a request to another daemon.
void write_forwarding_headers(http::fields& fields, const forwarding_info& info);

/// Sets the headers for a request to an upstream.
/// @param expected_upstream id of the only upstream that may execute the request.
void write_upstream_headers(http::fields& fields, const forwarding_info& info, const header_names& names,
                            const std::string& expected_upstream);

/// @return what an upstream says of itself in the headers of a response.
upstream_signals read_upstream_signals(const http::fields& fields, const header_names& names);

/// Sets the headers in which an owner reports the load of its upstream to an entry.
void write_report(http::fields& fields, const owner_report& report);

/// @return the report in a response of an owner, or nothing if there is none.
std::optional<owner_report> read_report(const http::fields& fields);

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1) and all headers of the mesh.
void remove_hop_by_hop_headers(http::fields& fields);

/// Removes all headers that may be taken for the key or the tenant of a request: in any case, repeated, and with
/// underscores for hyphens, which some servers do not tell apart. Trailers of a body that has been read are headers.
void remove_identity_headers(http::fields& fields, const header_names& names);

/// @return the value of header @p name, or an empty string.
std::string_view field_value(const http::fields& fields, std::string_view name);

/// @return the number in a header of another daemon's response. A missing or malformed number is 0 and not an error,
///         since the response is valid without it.
template <typename Number> Number number_or_zero(const http::fields& fields, std::string_view name) {
    const std::string_view text = field_value(fields, name);
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace amaranthladder
