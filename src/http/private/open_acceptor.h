#pragma once

#include "common/asio_types.h"
#include "common/endpoint.h"

namespace amaranthladder {

/// Opens @p acceptor at @p address; port 0 selects a free port.
/// @return the address with the actual port.
/// @throws error with result_code::listen_failed.
endpoint open_acceptor(asio::ip::tcp::acceptor& acceptor, const endpoint& address);

} // namespace amaranthladder
