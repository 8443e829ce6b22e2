#pragma once

#include "common/asio_types.h"

#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/rate_policy.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>

namespace amaranthladder {

/// Rate policy of a stream that counts the bytes that it moves and limits nothing.
class byte_count_policy {
public:
    /// @param total counter that outlives the stream; null: nothing is counted.
    void count_in(std::uint64_t* total) {
        m_total = total;
    }

private:
    friend class beast::rate_policy_access;

    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    static std::size_t available_read_bytes() {
        return unlimited;
    }

    static std::size_t available_write_bytes() {
        return unlimited;
    }

    void transfer_read_bytes(std::size_t bytes) {
        add(bytes);
    }

    void transfer_write_bytes(std::size_t bytes) {
        add(bytes);
    }

    void on_timer() {}

    void add(std::size_t bytes) {
        if (m_total != nullptr) {
            *m_total += bytes;
        }
    }

    std::uint64_t* m_total = nullptr;
};

/// A stream that counts its bytes if they are moved over the host's link.
using metered_stream = beast::basic_stream<asio::ip::tcp, asio::any_io_executor, byte_count_policy>;

/// @return true if both ends of an open connection have the same address, so that nothing is moved over the link.
inline bool has_local_peer(metered_stream& stream) {
    error_code local_failure;
    error_code remote_failure;
    const auto local = stream.socket().local_endpoint(local_failure);
    const auto remote = stream.socket().remote_endpoint(remote_failure);
    return !local_failure && !remote_failure && local.address() == remote.address();
}

} // namespace amaranthladder
