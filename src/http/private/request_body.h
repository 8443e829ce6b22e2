#pragma once

#include "common/asio_types.h"
#include "http/private/metered_stream.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace amaranthladder {

/// Reads the body of one received request.
///
/// The first bytes are buffered, so that the request can be sent again unless more of the body has been read.
class request_body {
public:
    /// @param stream the caller's connection.
    /// @param buffer the connection's read buffer.
    /// @param parser the request's parser; its header has been read.
    /// @param prefix_limit maximum number of buffered bytes.
    /// @param idle_timeout time without progress after which reading fails.
    request_body(metered_stream& stream, beast::flat_buffer& buffer, request_parser& parser, std::size_t prefix_limit,
                 absl::Duration idle_timeout);

    /// Reads and buffers the body up to the prefix limit. Further calls do nothing.
    /// @param limit longest time for all of it; a sender may keep the connection busy with a byte now and then.
    asio::awaitable<error_code> read_prefix(absl::Duration limit);

    /// Raises the maximum number of buffered bytes; to be called before read_prefix().
    void raise_prefix_limit(std::size_t limit) {
        m_prefix_limit = std::max(m_prefix_limit, limit);
    }

    /// @return the size that the sender has declared; nothing for a chunked body.
    std::optional<std::size_t> declared_size() const;

    /// @return the buffered bytes.
    const std::string& prefix() const {
        return m_prefix;
    }

    /// @return true if the prefix holds the whole body.
    bool is_whole() const;

    /// @return true if the request can be sent again.
    bool is_replayable() const {
        return !m_has_streamed;
    }

    /// Reads more of the body after the prefix. The request cannot be sent again afterwards.
    /// @param chunk buffer for the bytes.
    /// @param size set to the number of bytes read; after a success it is 0 only at the end of the body.
    /// @param limit longest time that the read may take; the idle timeout applies as well.
    asio::awaitable<error_code> read_more(std::span<char> chunk, std::size_t& size, absl::Duration limit);

    /// @return true if the body has been read completely.
    bool is_at_end() const {
        return m_parser.is_done();
    }

private:
    asio::awaitable<error_code> read_into(std::span<char> chunk, std::size_t& size, absl::Duration limit);

    metered_stream& m_stream;
    beast::flat_buffer& m_buffer;
    request_parser& m_parser;
    std::size_t m_prefix_limit;
    absl::Duration m_idle_timeout;
    std::string m_prefix;
    bool m_has_prefix = false;
    bool m_has_streamed = false;
};

} // namespace amaranthladder
