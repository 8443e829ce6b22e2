#include "common/tcp_keepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace amaranthladder {

namespace {

constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probe_count = 2;
constexpr int user_timeout_ms = 3'000;

void set_option(int socket, int level, int option, int value) {
    // Failures are ignored: on a kernel without the option, call deadlines still limit the wait.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof(value)));
}

} // namespace

void enable_tcp_keepalive(int socket) {
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probe_count);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

} // namespace amaranthladder
