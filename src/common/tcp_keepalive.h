#pragma once

namespace amaranthladder {

/// Enables TCP keepalive and a user timeout: reads and writes fail after about three seconds in which the peer neither
/// answers keepalive probes nor acknowledges data.
/// @param socket descriptor of a TCP socket.
void enable_tcp_keepalive(int socket);

} // namespace amaranthladder
