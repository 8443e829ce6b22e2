#pragma once

#include "http/private/asio_types.h"

#include <absl/time/time.h>

#include <cstddef>
#include <span>
#include <string>

namespace amaranthladder {

/// Reads the body of one received request.
///
/// The first bytes are kept, so that a request can be sent again as long as nothing beyond them was read.
class request_body {
public:
    /// @param stream the caller's connection.
    /// @param buffer its read buffer.
    /// @param parser the request's parser; its header has been read.
    /// @param prefix_limit bytes that are kept.
    /// @param idle_timeout time without progress after which reading fails.
    request_body(beast::tcp_stream& stream, beast::flat_buffer& buffer, request_parser& parser,
                 std::size_t prefix_limit, absl::Duration idle_timeout);

    /// Reads up to the prefix limit. Does nothing when called again.
    asio::awaitable<error_code> read_prefix();

    /// @return the bytes kept.
    const std::string& prefix() const {
        return m_prefix;
    }

    /// @return true if the prefix is the whole body.
    bool is_whole() const;

    /// @return true if the request can be sent again.
    bool is_replayable() const {
        return !m_has_streamed;
    }

    /// Reads bytes that follow the prefix.
    /// @param chunk where to read to.
    /// @param size set to the number of bytes read; 0 at the end of the body.
    asio::awaitable<error_code> read_more(std::span<char> chunk, std::size_t& size);

    /// @return true if the body has been read to its end.
    bool is_at_end() const {
        return m_parser.is_done();
    }

private:
    asio::awaitable<error_code> read_into(std::span<char> chunk, std::size_t& size);

    beast::tcp_stream& m_stream;
    beast::flat_buffer& m_buffer;
    request_parser& m_parser;
    std::size_t m_prefix_limit;
    absl::Duration m_idle_timeout;
    std::string m_prefix;
    bool m_has_prefix = false;
    bool m_has_streamed = false;
};

} // namespace amaranthladder
