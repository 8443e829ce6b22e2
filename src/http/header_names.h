#pragma once

#include <string>

namespace amaranthladder {

/// Names of the headers that callers and upstreams exchange with the daemons. The defaults are the project's own
/// interface, docs/interfaces.md; a platform with another interface gives its own names.
///
/// An empty name switches off the behaviour that depends on the header.
struct header_names {
    std::string request_id = "x-amaranthladder-request-id";
    std::string deadline_ms = "x-amaranthladder-deadline-ms"; ///< Time that the sender will wait.
    std::string expected_upstream;                            ///< Id of the only upstream that may run the request.
    std::string caller_service;                               ///< Service of the upstream on the caller's host.
    std::string signature;                                    ///< An upstream's answer counts only with this header.
    std::string not_executed;        ///< An upstream's answer with this header says that the request did not run.
    bool passes_mesh_headers = true; ///< Upstreams also get the headers route, hop and attempt.
};

} // namespace amaranthladder
