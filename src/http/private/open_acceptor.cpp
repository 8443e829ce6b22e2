#include "http/private/open_acceptor.h"

#include "common/error.h"

#include <fmt/format.h>

namespace amaranthladder {

namespace {

constexpr int listen_backlog = 1024;

} // namespace

endpoint open_acceptor(asio::ip::tcp::acceptor& acceptor, const endpoint& address) {
    try {
        const asio::ip::tcp::endpoint local(asio::ip::make_address(address.address), address.port);
        acceptor.open(local.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(local);
        acceptor.listen(listen_backlog);
        return {address.address, acceptor.local_endpoint().port()};
    } catch (const boost::system::system_error& problem) {
        throw error(result_code::listen_failed, fmt::format("{}: {}", to_string(address), problem.what()));
    }
}

} // namespace amaranthladder
