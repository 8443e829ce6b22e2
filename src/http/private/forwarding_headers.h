#pragma once

#include "http/private/asio_types.h"

#include <absl/time/time.h>

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

    bool is_from_entry() const {
        return !upstream.empty();
    }
};

/// @param fields the headers of a received request.
/// @return what they say.
/// @throws error with result_code::request_malformed if a number cannot be read.
forwarding_info read_forwarding_headers(const http::fields& fields);

/// Adds the headers of @p info to @p fields.
void write_forwarding_headers(http::fields& fields, const forwarding_info& info);

/// Removes the headers that concern one connection only (RFC 9110, section 7.6.1), and those of the mesh.
void remove_hop_by_hop_headers(http::fields& fields);

/// @return the value of header @p name, or an empty text.
std::string_view field_value(const http::fields& fields, std::string_view name);

} // namespace amaranthladder
