#include "http/private/request_body.h"

#include <algorithm>
#include <chrono>

namespace amaranthladder {

namespace {

/// Large enough for most request bodies.
constexpr std::size_t first_prefix_bytes = std::size_t{4} * 1024;

} // namespace

request_body::request_body(metered_stream& stream, beast::flat_buffer& buffer, request_parser& parser,
                           std::size_t prefix_limit, absl::Duration idle_timeout)
    : m_stream(stream), m_buffer(buffer), m_parser(parser), m_prefix_limit(prefix_limit), m_idle_timeout(idle_timeout) {
}

asio::awaitable<error_code> request_body::read_prefix(absl::Duration limit) {
    if (m_has_prefix) {
        co_return error_code{};
    }
    m_has_prefix = true;
    if (m_parser.is_done()) {
        co_return error_code{};
    }
    std::size_t used = 0;
    error_code failure;
    const auto end = std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(limit);
    while (!failure && !m_parser.is_done() && used < m_prefix_limit) {
        std::size_t size = 0;
        if (m_prefix.size() == used) {
            m_prefix.resize(std::min(m_prefix_limit, std::max(2 * used, first_prefix_bytes)));
        }
        const absl::Duration left = absl::FromChrono(end - std::chrono::steady_clock::now());
        failure = co_await read_into(std::span(m_prefix).subspan(used), size, std::min(left, m_idle_timeout));
        used += size;
    }
    m_prefix.resize(used);
    co_return failure;
}

std::optional<std::size_t> request_body::declared_size() const {
    const auto length = m_parser.content_length();
    return length ? std::optional<std::size_t>(static_cast<std::size_t>(*length)) : std::nullopt;
}

bool request_body::is_whole() const {
    return m_parser.is_done() && !m_has_streamed;
}

asio::awaitable<error_code> request_body::read_more(std::span<char> chunk, std::size_t& size, absl::Duration limit) {
    size = 0;
    m_has_streamed = true;
    error_code failure;
    while (!failure && !m_parser.is_done() && size == 0) {
        failure = co_await read_into(chunk, size, std::min(limit, m_idle_timeout));
    }
    co_return failure;
}

asio::awaitable<error_code> request_body::read_into(std::span<char> chunk, std::size_t& size, absl::Duration limit) {
    auto& body = m_parser.get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    body.more = true;
    m_stream.expires_after(absl::ToChronoNanoseconds(std::max(limit, absl::ZeroDuration())));
    auto [failure, transferred] = co_await http::async_read_some(m_stream, m_buffer, m_parser, as_result);
    // The parser reports a full buffer as an error.
    if (failure == http::error::need_buffer) {
        failure = {};
    }
    size = chunk.size() - body.size;
    body.data = nullptr;
    body.size = 0;
    co_return failure;
}

} // namespace amaranthladder
