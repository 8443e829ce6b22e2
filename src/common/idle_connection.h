#pragma once

#include "common/asio_types.h"

namespace amaranthladder {

/// State of a connection on which no response is due.
enum class idle_state {
    quiet,   ///< Can carry another request.
    closed,  ///< The peer has closed it.
    surplus, ///< Has unread bytes, which may be a second copy of an earlier response.
};

/// @param buffer bytes that were received on the connection and not parsed yet.
/// @return the state of an open connection, without waiting and without reading from it.
idle_state check_idle(asio::ip::tcp::socket& socket, const beast::flat_buffer& buffer);

} // namespace amaranthladder
