#pragma once

#include "common/endpoint.h"
#include "store/call_counter.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amaranthladder {

/// HTTP request to a store.
struct store_http_request {
    store_call_kind kind = store_call_kind::get; ///< Under which the call is counted.
    std::string method;
    std::string path; ///< With the query.
    std::vector<std::pair<std::string, std::string>> headers = {};
    std::string body = {};
};

/// Result of an HTTP request to a store.
struct store_http_response {
    int status = 0;                ///< HTTP status; 0 if there was no response.
    bool may_have_arrived = false; ///< If there was no response: the store may have received the request.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @return the value of the header @p name, which is not case-sensitive, or an empty string.
    std::string header(const std::string& name) const;
};

/// Pool of HTTP connections to the store, which keeps idle ones for a short time. Thread-safe; calls of several threads
/// run concurrently.
class store_connection_pool {
public:
    /// @param address address of the store.
    explicit store_connection_pool(endpoint address);
    ~store_connection_pool();
    store_connection_pool(const store_connection_pool&) = delete;
    store_connection_pool& operator=(const store_connection_pool&) = delete;

    /// Sends a request and waits for its response.
    /// @param deadline maximum duration of connecting and of each wait for the socket; the call can exceed it only if
    /// the headers of the response arrive byte by byte.
    store_http_response call(const store_http_request& request, absl::Duration deadline);

    /// Aborts the calls in progress.
    void abort_calls();

    /// Aborts the calls in progress; further ones fail immediately.
    void close();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
