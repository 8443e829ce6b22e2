#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace amaranthladder {

/// A bound UDP socket with a way to wake the thread that waits for it.
class udp_socket {
public:
    /// @param address where to listen; port 0 takes a free one.
    /// @throws error with result_code::listen_failed.
    explicit udp_socket(const endpoint& address);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// @return the bound address.
    const endpoint& address() const {
        return m_address;
    }

    /// Sends a datagram. One that the kernel refuses is lost, as on the network.
    /// @return true if the kernel took it.
    bool send(const endpoint& to, const std::string& bytes) const;

    /// Waits until a datagram is there, wake() is called or @p timeout has passed.
    void wait(absl::Duration timeout) const;

    /// @return the next datagram without waiting. One that exceeds max_datagram_bytes is cut to one byte more.
    std::optional<std::string> receive() const;

    /// Ends a wait(). May be called from any thread.
    void wake() const;

private:
    int m_socket = -1;
    int m_wake_event = -1;
    endpoint m_address;
};

} // namespace amaranthladder
