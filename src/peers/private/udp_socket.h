#pragma once

#include "common/endpoint.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace amaranthladder {

/// Bound UDP socket whose wait() can be interrupted from another thread.
class udp_socket {
public:
    /// @param address the address to bind; port 0 selects a free port.
    /// @throws error with result_code::listen_failed.
    explicit udp_socket(const endpoint& address);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// @return the bound address.
    const endpoint& address() const {
        return m_address;
    }

    /// Sends a datagram without blocking or retries.
    /// @return true if the kernel accepted it.
    bool send(const endpoint& to, const std::string& bytes) const;

    /// Waits until a datagram is available, wake() is called or @p timeout has passed.
    void wait(absl::Duration timeout) const;

    /// Receives a datagram without waiting.
    /// @return the next datagram, truncated to max_datagram_bytes + 1 bytes if it is longer; empty if there is none.
    std::optional<std::string> receive() const;

    /// Ends a wait(). May be called from any thread.
    void wake() const;

private:
    int m_socket = -1;
    int m_wake_event = -1;
    endpoint m_address;
};

} // namespace amaranthladder
