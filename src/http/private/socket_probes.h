#pragma once

#include "http/private/asio_types.h"

namespace amaranthladder {

/// Lets the kernel find connections that have gone silent: after about three seconds without a sign of the peer a read
/// or write on the connection fails.
void set_probes(asio::ip::tcp::socket& socket);

} // namespace amaranthladder
