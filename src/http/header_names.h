#pragma once

#include <string>

namespace amaranthladder {

/// Names of the headers that callers and upstreams exchange with the daemons. The defaults are the interface described
/// in docs/interfaces.md; a platform with a different interface sets its own names.
///
/// An empty name disables the behaviour that depends on the header.
struct header_names {
    std::string request_id = "x-amaranthladder-request-id";
    std::string deadline_ms = "x-amaranthladder-deadline-ms"; ///< Time for which the sender waits for the response.
    std::string expected_upstream;                            ///< Id of the only upstream that may execute the request.
    std::string caller_service;                               ///< Service that runs on the caller's host.
    std::string signature;    ///< If set, responses of upstreams without this header are rejected.
    std::string not_executed; ///< In a response of an upstream: the request was not executed.
    /// In a response of an upstream: requests per second that it takes from all callers together, a decimal number.
    std::string rate_limit = "x-amaranthladder-rate-limit";
    /// In a response of an upstream: `running,waiting,slots[,speed]`, see parse_server_load.
    std::string server_load = "x-amaranthladder-server-load";
    std::string leaving = "x-amaranthladder-leaving"; ///< In a response of an upstream: `1` if it ends soon.
    std::string authorization = "Authorization"; ///< In a request of a caller: the scheme, a space and a tenant's key.
    std::string authorization_scheme = "Bearer"; ///< Precedes the key; case-sensitive.
    std::string tenant = "x-amaranthladder-tenant"; ///< In a request to an upstream: the tenant that holds the key.
    bool passes_mesh_headers = true;                ///< Upstreams also receive the route, hop and attempt headers.
};

} // namespace amaranthladder
