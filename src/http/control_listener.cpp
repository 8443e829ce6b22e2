#include "http/control_listener.h"

#include "http/private/control_session.h"
#include "http/private/open_acceptor.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <thread>
#include <utility>
#include <vector>

namespace amaranthladder {

namespace {

/// A handler that waits for the data path occupies a thread for up to two seconds; the others answer meanwhile.
constexpr int thread_count = 4;
/// The upstreams beside the daemon, operators and a metrics collector.
constexpr int max_sessions = 64;
/// Wait after a failure to accept, such as a lack of file descriptors.
constexpr auto accept_retry_interval = std::chrono::milliseconds(20);

} // namespace

class control_listener::implementation {
public:
    implementation(const endpoint& address, std::function<control_reply(const control_request&)> handler)
        : m_handler(std::move(handler)), m_acceptor(m_context), m_address(open_acceptor(m_acceptor, address)) {
        asio::co_spawn(m_context, accept(), asio::detached);
        for (int number = 0; number < thread_count; ++number) {
            m_threads.emplace_back([this] { m_context.run(); });
        }
    }

    ~implementation() {
        m_context.stop();
        for (std::thread& thread : m_threads) {
            thread.join();
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    const endpoint& address() const {
        return m_address;
    }

private:
    asio::awaitable<void> accept() {
        while (true) {
            // The timeout and the reads of a session must not run on two threads at once.
            const asio::any_io_executor session_executor = asio::make_strand(m_context);
            auto [failure, socket] = co_await m_acceptor.async_accept(session_executor, as_result);
            if (failure) {
                asio::steady_timer timer(m_context, accept_retry_interval);
                co_await timer.async_wait(as_result);
            } else if (m_session_count < max_sessions) {
                ++m_session_count;
                asio::co_spawn(session_executor, serve_control(std::move(socket), m_handler),
                               [this](const std::exception_ptr& /*failure*/) { --m_session_count; });
            }
        }
    }

    std::function<control_reply(const control_request&)> m_handler;
    std::atomic<int> m_session_count = 0;
    asio::io_context m_context{thread_count};
    asio::ip::tcp::acceptor m_acceptor;
    endpoint m_address;
    std::vector<std::thread> m_threads;
};

control_listener::control_listener(const endpoint& address,
                                   std::function<control_reply(const control_request&)> handler)
    : m_implementation(std::make_unique<implementation>(address, std::move(handler))) {}

control_listener::~control_listener() = default;

const endpoint& control_listener::address() const {
    return m_implementation->address();
}

} // namespace amaranthladder
