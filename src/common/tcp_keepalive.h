#pragma once

namespace amaranthladder {

/// Lets the kernel find a connection that has gone silent: after about three seconds without a sign of the peer a read
/// or write on it fails.
/// @param socket descriptor of a TCP socket.
void enable_tcp_keepalive(int socket);

} // namespace amaranthladder
