#include "http/private/disconnect_watch.h"

#include <sys/socket.h>

#include <utility>

namespace amaranthladder {

disconnect_watch::disconnect_watch(metered_stream& stream, std::function<void()> on_disconnect,
                                   std::function<void()> on_data)
    : m_state(std::make_shared<state>()) {
    m_state->stream = &stream;
    m_state->on_disconnect = std::move(on_disconnect);
    m_state->on_data = std::move(on_data);
    stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [shared = m_state](error_code failure) {
        if (!failure) {
            on_readable(shared);
        }
    });
}

disconnect_watch::~disconnect_watch() {
    m_state->is_stopped = true;
    if (!m_state->has_fired) {
        error_code ignored;
        m_state->stream->socket().cancel(ignored);
    }
}

void disconnect_watch::on_readable(const std::shared_ptr<state>& shared) {
    if (shared->is_stopped) {
        return;
    }
    shared->has_fired = true;
    char byte = 0;
    const auto received =
        ::recv(shared->stream->socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    const bool would_block = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (received > 0) {
        shared->on_data();
    }
    if (received > 0 || would_block) {
        return;
    }
    shared->has_disconnected = true;
    shared->on_disconnect();
}

} // namespace amaranthladder
