#pragma once

#include "http/private/asio_types.h"
#include "http/private/exchange.h"
#include "http/private/served_request.h"
#include "http/proxy_options.h"

#include <functional>
#include <span>
#include <string>

namespace amaranthladder {

/// How the transfer of a response to the caller ended.
struct relay_result {
    result_code code = result_code::ok;
    bool has_begun = false; ///< Bytes of the response have reached the caller, so no refusal can follow.
};

/// Passes the response of an exchange on to the caller.
class response_relay {
public:
    explicit response_relay(const proxy_options& options);

    /// Passes the response on. Up to the buffer limit it is read whole first, so that a short answer becomes a
    /// refusal; beyond it is streamed, and a short answer resets the caller's connection.
    /// @param source the exchange; its response's header has been read.
    /// @param request the caller's request.
    /// @param buffer_limit bytes of the body that are held at the most.
    /// @param set_headers changes the header before it is sent.
    asio::awaitable<relay_result> relay(exchange& source, served_request& request, std::size_t buffer_limit,
                                        const std::function<void(http::fields&)>& set_headers) const;

private:
    asio::awaitable<relay_result> relay_head_only(exchange& source, served_request& request,
                                                  http::response_header<> head) const;
    asio::awaitable<relay_result> relay_whole(exchange& source, served_request& request, http::response_header<> head,
                                              std::string body) const;
    asio::awaitable<relay_result> relay_stream(exchange& source, served_request& request, http::response_header<> head,
                                               std::string begin) const;

    const proxy_options& m_options;
};

} // namespace amaranthladder
