#pragma once

#include "common/endpoint.h"
#include "store/call_counter.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amaranthladder {

/// One HTTP call of a store.
struct store_http_request {
    store_call_kind kind = store_call_kind::get; ///< For the counters.
    std::string method;
    std::string path; ///< With the query.
    std::vector<std::pair<std::string, std::string>> headers = {};
    std::string body = {};
};

/// How a call ended.
struct store_http_response {
    int status = 0;                ///< HTTP status; 0 if there was no answer.
    bool may_have_arrived = false; ///< Without an answer: the store may have received the call.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @return the value of header @p name in any case, or an empty text.
    std::string header(const std::string& name) const;
};

/// Open connections to the store, reused for a short time. Thread-safe; calls of several threads run side by side.
class store_connection_pool {
public:
    /// @param address where the store listens.
    explicit store_connection_pool(endpoint address);
    ~store_connection_pool();
    store_connection_pool(const store_connection_pool&) = delete;
    store_connection_pool& operator=(const store_connection_pool&) = delete;

    /// Sends one request and waits for its answer.
    /// @param deadline applies to connecting and to each wait for the socket; only a head that arrives byte by byte can
    ///        exceed it.
    store_http_response call(const store_http_request& request, absl::Duration deadline);

    /// Ends the calls under way; further ones fail at once.
    void close();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace amaranthladder
