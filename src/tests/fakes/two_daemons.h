#pragma once

#include "common/event_log.h"
#include "common/steady_clock.h"
#include "config/intended_state.h"
#include "fake_upstream.h"
#include "http/request_proxy.h"

#include <absl/time/time.h>
#include <httplib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace amaranthladder {

/// A service with one upstream, which is local to the daemon "owner". Callers connect to the daemon "entry" or to the
/// owner.
class two_daemons {
public:
    /// @param slots slots of the upstream.
    /// @param queue_limit requests that may wait for a slot.
    /// @param adjust changes the options of both daemons.
    explicit two_daemons(
        int slots = 64, int queue_limit = 16,
        const std::function<void(proxy_options&)>& adjust = [](proxy_options&) {});
    ~two_daemons();
    two_daemons(const two_daemons&) = delete;
    two_daemons& operator=(const two_daemons&) = delete;

    /// @param through_entry false: the client connects to the owner.
    httplib::Client client(bool through_entry = true) const;

    /// Limits the time of all requests.
    void set_route_timeout(absl::Duration timeout);

    event_log log{event_log_options{log_level::off, "", 64}};
    steady_clock clock;
    fake_upstream upstream;
    std::unique_ptr<request_proxy> entry;
    std::unique_ptr<request_proxy> owner;
    upstream_record record;

private:
    std::unique_ptr<request_proxy> make_proxy(const std::string& worker,
                                              const std::function<void(proxy_options&)>& adjust);
    void set_configuration(absl::Duration route_timeout);

    int m_queue_limit;
    std::thread m_threads[3];
};

/// @return the result code of an answer, or "no answer".
std::string code_of(const httplib::Result& result);

/// A connection on which a test sends and receives bytes of its own.
class raw_connection {
public:
    /// @param receive_timeout time after which receive() gives up.
    explicit raw_connection(const endpoint& address, absl::Duration receive_timeout = absl::Seconds(2));
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    bool is_open() const {
        return m_is_open;
    }

    /// @return true if all bytes were accepted by the kernel.
    bool send(const std::string& bytes);

    /// @return the next bytes; empty at the end of the connection, after a reset or after the timeout.
    std::string receive();

    /// @return all bytes until the peer closes the connection or sends nothing for the timeout.
    std::string receive_all();

    /// Receives until @p count occurrences of @p text have arrived, the connection ends or the timeout passes.
    std::string receive_until(const std::string& text, int count = 1);

private:
    int m_socket;
    bool m_is_open;
};

/// Sends bytes and reads until the peer closes the connection or sends nothing for two seconds.
std::string send_raw(const endpoint& address, const std::string& bytes);

} // namespace amaranthladder
