#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace amaranthladder {

/// Behaviour of a fake upstream; each field can be changed while it runs.
struct fake_upstream_behavior {
    absl::Duration delay;   ///< Time that each request takes.
    int fail_percent = 0;   ///< Share of requests answered 500 after they ran.
    int refuse_percent = 0; ///< Share of requests answered 503 without running.
    std::string fail_path;  ///< Requests with this path prefix are answered 500 after they ran.
    /// Where a connection is reset: `after-headers`, `after-body`, `in-response`; empty: nowhere.
    std::string reset_at;
    bool is_silent = false;              ///< Reads requests, runs them and never answers.
    int silent_connections = 0;          ///< The first so many connections never carry an answer again.
    bool sends_wrong_request_id = false; ///< Answers carry the id of another request.
};

/// A back end for tests and benchmarks: it answers HTTP, keeps a record of the requests it ran, and can misbehave.
///
/// Paths: `/bytes/N` answers N bytes with a length, `/chunked/N` in chunks, `/close/N` with neither (ended by the
/// connection's close), `/truncated/N` announces N bytes and sends half, `/wait/MS` takes MS milliseconds,
/// `/fake/executed` gives the record as JSON, `PUT /fake/behavior?KEY=VALUE&...` changes the behaviour. Every other
/// path answers its request body, or a short text without one.
class fake_upstream {
public:
    /// @param listen_address where to listen; port 0 takes a free port.
    /// @param version text sent in the header `x-version` of each answer.
    fake_upstream(const endpoint& listen_address, std::string version, fake_upstream_behavior behavior);
    ~fake_upstream();
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;

    /// @return the address in use.
    endpoint address() const;

    /// Serves until stop() is called.
    void run();

    /// May be called from any thread.
    void stop();

    /// May be called from any thread.
    void set_behavior(const fake_upstream_behavior& behavior);

    /// May be called from any thread.
    /// @return how often each request id ran.
    std::map<std::string, int> execution_counts() const;

    /// May be called from any thread.
    /// @return connections accepted since the start.
    int accepted_connections() const;

    /// May be called from any thread.
    /// @return requests running now.
    int running_requests() const;

    /// Waits until a request runs. May be called from any thread but the one that calls run().
    void wait_for_running_request() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace amaranthladder
