#pragma once

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace amaranthladder {

/// The requests on one connection whose sender does not wait for responses, from the one to be answered next to the one
/// read last. Decides which of them may be served side by side; responses leave in the order of arrival.
///
/// A request that may be repeated can be served beside others that may be repeated. Any other request is not started
/// before those in front of it have ended, and none behind it is started before it has ended: their sender may rely on
/// its effects.
template <typename Request> class request_pipeline {
public:
    /// @param max_requests maximum number of requests, including the one to be answered next.
    explicit request_pipeline(std::size_t max_requests) : m_max_requests(max_requests) {}

    /// Adds the request that was read last.
    /// @param is_repeatable true if it may be served beside others.
    /// @param is_last true if nothing can be read after it, e.g. because its body has not been read.
    void push(Request request, bool is_repeatable, bool is_last = false) {
        m_entries.push_back({std::move(request), is_repeatable, is_last, false});
    }

    /// Reading may go on behind the request that was read last, e.g. because its body has been read meanwhile.
    void reopen() {
        if (!m_entries.empty()) {
            m_entries.back().is_last = false;
        }
    }

    /// @return true if another request may be read.
    bool may_read() const {
        return !m_is_closed && m_entries.size() < m_max_requests && (m_entries.empty() || !m_entries.back().is_last);
    }

    bool is_empty() const {
        return m_entries.empty();
    }

    std::size_t size() const {
        return m_entries.size();
    }

    /// @return the request to be answered next.
    Request& front() {
        return m_entries.front().request;
    }

    /// Marks the front as started.
    /// @return false if it was started before.
    bool start_front() {
        return !std::exchange(m_entries.front().is_started, true);
    }

    /// Starts the requests that may be served beside those in front of them.
    /// @return the requests, in the order of arrival.
    std::vector<Request> start_behind() {
        std::vector<Request> started;
        for (entry& next : m_entries) {
            if (!next.is_repeatable) {
                break;
            }
            if (&next != &m_entries.front() && !std::exchange(next.is_started, true)) {
                started.push_back(next.request);
            }
        }
        return started;
    }

    /// Removes the front after its response.
    void pop() {
        m_entries.pop_front();
    }

    /// Removes all requests, because the connection ends.
    /// @return those that were started.
    std::vector<Request> clear() {
        std::vector<Request> started;
        for (entry& next : m_entries) {
            if (next.is_started) {
                started.push_back(std::move(next.request));
            }
        }
        m_entries.clear();
        m_is_closed = true;
        return started;
    }

private:
    struct entry {
        Request request;
        bool is_repeatable = false;
        bool is_last = false;
        bool is_started = false;
    };

    std::size_t m_max_requests;
    std::deque<entry> m_entries;
    bool m_is_closed = false;
};

} // namespace amaranthladder
