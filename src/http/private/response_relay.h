#pragma once

#include "common/asio_types.h"
#include "http/private/exchange.h"
#include "http/private/served_request.h"
#include "http/proxy_options.h"

#include <functional>
#include <span>
#include <string>

namespace amaranthladder {

/// Result of relaying a response to the caller.
struct relay_result {
    result_code code = result_code::ok;
    bool has_begun = false; ///< Bytes of the response may have been sent, so a refusal can no longer be sent.
};

/// Relays the response of an exchange to the caller. Used on the event loop's thread only.
class response_relay {
public:
    explicit response_relay(const proxy_options& options);

    /// Relays the response. A body up to the buffer limit is read completely first, so that the caller can still get a
    /// refusal if it is truncated. A larger one is streamed; if it is truncated, the caller's connection is reset.
    /// @param source the exchange; the header of its response has been read.
    /// @param request the caller's request.
    /// @param buffer_limit maximum number of buffered bytes of the body. The limit for all responses together applies
    ///        as well, but not below a small number of bytes.
    /// @param set_headers sets headers of the response before it is sent.
    /// @param on_received called when the response has been read completely, before the caller has accepted it.
    asio::awaitable<relay_result> relay(
        exchange& source, served_request& request, std::size_t buffer_limit,
        const std::function<void(http::fields&)>& set_headers, const std::function<void()>& on_received = [] {}) const;

private:
    asio::awaitable<relay_result> relay_head_only(served_request& request, http::response_header<> head) const;
    asio::awaitable<relay_result> relay_whole(served_request& request, http::response_header<> head,
                                              std::string body) const;
    asio::awaitable<relay_result> relay_stream(exchange& source, served_request& request, http::response_header<> head,
                                               std::string buffered) const;

    const proxy_options& m_options;
    mutable std::size_t m_buffered_bytes = 0; ///< Of all responses that are being buffered.
};

} // namespace amaranthladder
