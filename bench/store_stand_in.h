#pragma once

#include "common/endpoint.h"

#include <cstddef>
#include <memory>

namespace amaranthladder {

class store_stand_in_state;

/// An HTTP server for the platform's store, for tests and benchmarks; docs/store.md describes its interface.
///
/// Serves from the construction to the destruction.
class store_stand_in {
public:
    /// Each open connection takes a thread of cpp-httplib's server, also while a watch waits on it.
    static constexpr std::size_t default_threads = 128;

    /// @param state what the server answers from; outlives the server.
    /// @param address where to listen; port 0 takes a free port.
    /// @param threads the number of connections served at once.
    /// @throws error with result_code::listen_failed.
    store_stand_in(store_stand_in_state& state, const endpoint& address, std::size_t threads = default_threads);
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;

    /// @return where the server listens.
    const endpoint& address() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace amaranthladder
