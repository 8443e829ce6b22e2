#pragma once

#include "common/endpoint.h"
#include "endless_response.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace amaranthladder {

/// Behaviour of a fake upstream. It can be changed while the upstream runs.
struct fake_upstream_behavior {
    absl::Duration delay;   ///< Service time of each request.
    int fail_percent = 0;   ///< Percentage of requests that run and get a response with status 500.
    int refuse_percent = 0; ///< Percentage of requests that get status 503 without running.
    std::string fail_path;  ///< Requests with this path prefix run and get status 500.
    /// When the connection is reset: `after-headers`, `after-body` or `in-response`; empty: never.
    std::string reset_at;
    bool is_silent = false;                     ///< Reads and runs requests, but sends no responses.
    int silent_connections = 0;                 ///< This many of the first accepted connections get no more responses.
    bool sends_wrong_request_id = false;        ///< Responses carry the id of another request.
    endless_kind endless = endless_kind::none;  ///< Each request runs and is answered with such bytes.
    std::map<std::string, std::string> headers; ///< Further headers of each response.
};

/// An HTTP back end for tests and benchmarks, which counts the executions of each request and can inject faults.
///
/// Paths:
/// - `/bytes/N` returns N bytes with a Content-Length.
/// - `/chunked/N` returns N bytes in chunked encoding.
/// - `/close/N` returns N bytes with neither; the end of the body is the end of the connection.
/// - `/truncated/N` sends a Content-Length of N, half of the bytes, and then resets the connection.
/// - `/wait/MS` takes MS milliseconds.
/// - `/endless/KIND` answers with the bytes of that endless_kind.
/// - `/fake/executed` returns the execution counts as JSON.
/// - `PUT /fake/behavior?KEY=VALUE&...` changes the behaviour.
/// - Every other path returns the request's body, or a short text if it has none.
class fake_upstream {
public:
    /// @param listen_address the address to listen on; port 0 selects a free port.
    /// @param version the value of the header `x-version` of each response.
    /// @param behavior the initial behaviour.
    fake_upstream(const endpoint& listen_address, std::string version, fake_upstream_behavior behavior);
    ~fake_upstream();
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;

    /// @return the address that it listens on, with the actual port.
    endpoint address() const;

    /// Serves requests until stop() is called.
    void run();

    /// May be called from any thread.
    void stop();

    /// May be called from any thread.
    void set_behavior(const fake_upstream_behavior& behavior);

    /// May be called from any thread.
    /// @return the number of executions by request id.
    std::map<std::string, int> execution_counts() const;

    /// May be called from any thread.
    /// @return the number of connections accepted since the start.
    int accepted_connections() const;

    /// May be called from any thread.
    /// @return the number of connections open now.
    int open_connections() const;

    /// May be called from any thread.
    /// @return the number of requests running now.
    int running_requests() const;

    /// Blocks until a request is running. May be called from any thread except the one that is in run().
    void wait_for_running_request() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace amaranthladder
