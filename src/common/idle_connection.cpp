#include "common/idle_connection.h"

#include <cerrno>

#include <sys/socket.h>

namespace amaranthladder {

idle_state check_idle(asio::ip::tcp::socket& socket, const beast::flat_buffer& buffer) {
    if (buffer.size() > 0) {
        return idle_state::surplus;
    }
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return idle_state::surplus;
    }
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? idle_state::quiet : idle_state::closed;
}

} // namespace amaranthladder
