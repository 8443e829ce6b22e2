#include "peers/private/udp_socket.h"

#include "common/error.h"
#include "peers/messages.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <string>

namespace amaranthladder {

namespace {

// Buffers the responses that arrive while the process is paused briefly.
constexpr int socket_buffer_bytes = 512 * 1024;

struct socket_address {
    sockaddr_storage storage{};
    socklen_t size = 0;

    sockaddr* data() {
        return reinterpret_cast<sockaddr*>(&storage);
    }
};

socket_address to_socket_address(const endpoint& value) {
    socket_address out;
    auto* const v4 = reinterpret_cast<sockaddr_in*>(&out.storage);
    auto* const v6 = reinterpret_cast<sockaddr_in6*>(&out.storage);
    if (inet_pton(AF_INET, value.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(value.port);
        out.size = sizeof(sockaddr_in);
    } else if (inet_pton(AF_INET6, value.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(value.port);
        out.size = sizeof(sockaddr_in6);
    }
    return out;
}

std::uint16_t bound_port(int socket) {
    socket_address bound;
    bound.size = sizeof(bound.storage);
    getsockname(socket, bound.data(), &bound.size);
    // The port has the same offset in IPv4 and IPv6 addresses.
    return ntohs(reinterpret_cast<const sockaddr_in*>(&bound.storage)->sin_port);
}

} // namespace

udp_socket::udp_socket(const endpoint& address) : m_address(address) {
    socket_address local = to_socket_address(address);
    m_wake_event = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    m_socket = socket(local.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_wake_event < 0 || m_socket < 0 || bind(m_socket, local.data(), local.size) != 0) {
        const std::string reason = std::strerror(errno);
        close(m_wake_event);
        close(m_socket);
        throw error(result_code::listen_failed, to_string(address) + " over UDP: " + reason);
    }
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof(socket_buffer_bytes));
    m_address.port = bound_port(m_socket);
}

udp_socket::~udp_socket() {
    close(m_wake_event);
    close(m_socket);
}

bool udp_socket::send(const endpoint& to, const std::string& bytes) const {
    socket_address remote = to_socket_address(to);
    return sendto(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL, remote.data(), remote.size) >= 0;
}

void udp_socket::wait(absl::Duration timeout) const {
    std::array<pollfd, 2> waited{pollfd{m_socket, POLLIN, 0}, pollfd{m_wake_event, POLLIN, 0}};
    poll(waited.data(), waited.size(), static_cast<int>(absl::ToInt64Milliseconds(timeout)) + 1);
    std::uint64_t wakes = 0;
    // Resets the event counter; the read fails without blocking if wake() was not called.
    [[maybe_unused]] const auto count = read(m_wake_event, &wakes, sizeof(wakes));
}

std::optional<std::string> udp_socket::receive() const {
    std::array<char, max_datagram_bytes + 1> buffer{};
    while (true) {
        const auto size = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (size >= 0) {
            return std::string(buffer.data(), static_cast<std::size_t>(size));
        }
        // ECONNREFUSED reports an earlier send to a closed port; reading continues.
        if (errno != ECONNREFUSED && errno != EINTR) {
            return std::nullopt;
        }
    }
}

void udp_socket::wake() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(m_wake_event, &one, sizeof(one));
}

} // namespace amaranthladder
