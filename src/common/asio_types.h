#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/error_code.hpp>

#include <absl/time/time.h>

#include <cstddef>
#include <string_view>

namespace amaranthladder {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

/// Completion token: the operation returns (error_code, result) and does not throw.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Size of the chunks in which a body is streamed.
inline constexpr std::size_t stream_chunk_bytes = std::size_t{64} * 1024;

/// @return @p text as a Beast string view, which has no conversion from std::string_view.
inline beast::string_view beast_view(std::string_view text) {
    return {text.data(), text.size()};
}

/// Number of interim (1xx) responses that are skipped before a response is given up.
inline constexpr int max_interim_responses = 8;
/// Lowest status of a final response, RFC 9110, section 15.
inline constexpr unsigned min_final_status = 200;

/// @return true if a read failed because the bytes of the peer are no HTTP message. False if the connection ended or a
/// timeout passed.
inline bool is_malformed(error_code failure) {
    return failure.category() == http::make_error_code(http::error::bad_version).category() &&
           failure != http::error::end_of_stream && failure != http::error::partial_message;
}

/// @return true if a read failed because the message of the peer exceeds a limit of the parser or of the buffer.
inline bool is_too_large(error_code failure) {
    return failure == http::error::header_limit || failure == http::error::body_limit ||
           failure == http::error::buffer_overflow;
}

using request_parser = http::request_parser<http::buffer_body>;
using response_parser = http::response_parser<http::buffer_body>;

} // namespace amaranthladder
