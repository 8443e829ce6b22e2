#pragma once

#include "common/endpoint.h"

#include <cstddef>
#include <memory>

namespace amaranthladder {

class store_stand_in_state;

/// An HTTP server that replaces the platform's store in tests and benchmarks; docs/store.md describes its interface.
///
/// It serves from its construction to its destruction.
class store_stand_in {
public:
    /// Each open connection occupies a thread of cpp-httplib's server, even while a watch is waiting.
    static constexpr std::size_t default_threads = 128;

    /// @param state the content to serve; must outlive the server.
    /// @param address the address to listen on; port 0 selects a free port.
    /// @param threads the number of connections served concurrently.
    /// @throws error with result_code::listen_failed if the address cannot be used.
    store_stand_in(store_stand_in_state& state, const endpoint& address, std::size_t threads = default_threads);
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;

    /// @return the address that the server listens on, with the actual port.
    const endpoint& address() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace amaranthladder
