#pragma once

#include "http/header_names.h"
#include "http/private/asio_types.h"
#include "routing/router.h"

#include <absl/time/time.h>

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// Names of the headers between an entry daemon, an owner daemon and an upstream.
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
inline constexpr std::string_view backlog_ms = "x-amaranthladder-backlog-ms";
} // namespace header

/// What the headers of a received request say about its way through the mesh.
struct forwarding_info {
    std::string mesh;
    std::string request_id;
    std::optional<absl::Duration> time_left;
    int hop = 0;
    std::string route;
    std::string upstream; ///< Set by an entry daemon; the receiver is then the owner of this upstream.
    int attempt = 0;
    std::string caller_service;                     ///< Service of the upstream on the caller's host.
    bool is_idempotent = false;                     ///< The request may run more than once.
    int priority = 0;                               ///< 0 is the most urgent.
    std::optional<absl::Duration> target_time_left; ///< Time left in which the answer is worth most to the caller.

    bool is_from_entry() const {
        return !upstream.empty();
    }
};

/// @param fields the headers of a request that another daemon sent.
/// @return what they say.
/// @throws error with result_code::request_malformed if a number cannot be read.
forwarding_info read_forwarding_headers(const http::fields& fields);

/// @param fields the headers of a caller's request.
/// @param names the names of the headers.
/// @return the id and the time left; nothing else that a caller sends is believed.
/// @throws error with result_code::request_malformed if a number cannot be read.
forwarding_info read_caller_headers(const http::fields& fields, const header_names& names);

/// Adds the headers of @p info to @p fields, for another daemon.
void write_forwarding_headers(http::fields& fields, const forwarding_info& info);

/// Adds the headers of @p info to @p fields, for an upstream.
/// @param expected_upstream id of the upstream that the request is meant for.
void write_upstream_headers(http::fields& fields, const forwarding_info& info, const header_names& names,
                            const std::string& expected_upstream);

/// Adds what an owner tells an entry of its upstream.
void write_report(http::fields& fields, const owner_report& report);

/// @return what an owner's answer says of its upstream, or nothing.
std::optional<owner_report> read_report(const http::fields& fields);

/// Removes the headers that concern one connection only (RFC 9110, section 7.6.1), and those of the mesh.
void remove_hop_by_hop_headers(http::fields& fields);

/// @return the value of header @p name, or an empty text.
std::string_view field_value(const http::fields& fields, std::string_view name);

/// @return the number in a header of another daemon's answer, or 0 if there is none: such a figure only adds to what
/// the
///         answer says.
template <typename Number> Number number_or_zero(const http::fields& fields, std::string_view name) {
    const std::string_view text = field_value(fields, name);
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace amaranthladder
