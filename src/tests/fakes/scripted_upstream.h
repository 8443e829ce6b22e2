#pragma once

#include "common/endpoint.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace amaranthladder {

/// What a scripted upstream does with a request.
struct scripted_answer {
    std::string bytes;         ///< Sent after the delay.
    absl::Duration delay = {}; ///< Time from the request's arrival.
    bool closes = false;       ///< The connection is closed after the bytes.
    std::string surplus = {};  ///< Sent after the bytes and surplus_delay.
    absl::Duration surplus_delay = {};
};

/// A request that a scripted upstream has received.
struct scripted_request {
    int connection = 0;    ///< Number of the connection, from 0.
    int on_connection = 0; ///< Number of the request on its connection, from 0.
    std::string head;      ///< With the empty line at its end.

    /// @return the value of a header, or an empty text.
    std::string header(const std::string& name) const;
};

/// An upstream that answers with bytes of the test's choice.
class scripted_upstream {
public:
    using script = std::function<scripted_answer(const scripted_request&)>;

    /// @param answer called for each request, from the threads of the connections.
    explicit scripted_upstream(script answer);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    endpoint address() const;

    /// @return the request targets received so far.
    std::vector<std::string> targets() const;

private:
    void accept_connections();
    void serve(int socket, int connection);

    script m_answer;
    int m_listener;
    endpoint m_address;
    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_targets ABSL_GUARDED_BY(m_mutex);
    std::vector<int> m_sockets ABSL_GUARDED_BY(m_mutex);
    std::list<std::thread> m_connection_threads;
    std::thread m_accept_thread;
};

} // namespace amaranthladder
