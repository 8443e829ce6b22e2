#include "common/socket_probes.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace amaranthladder {

namespace {

constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;
constexpr int unacknowledged_limit_ms = 3'000;

void set_option(int socket, int level, int option, int value) {
    // A kernel without the option leaves the deadlines of calls as the only limit.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof(value)));
}

} // namespace

void set_probes(int socket) {
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

} // namespace amaranthladder
