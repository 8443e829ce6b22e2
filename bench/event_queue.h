#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace amaranthladder {

/// A queue of timed actions for simulations. Actions run in order of time; those with equal times run in insertion
/// order.
class event_queue {
public:
    explicit event_queue(absl::Time start) : m_now(start) {}

    /// @param when the time at which the action runs; must not be earlier than now().
    void add(absl::Time when, std::function<void()> action) {
        m_events.push(event{when, m_next_sequence++, std::move(action)});
    }

    /// Advances now() to the time of the next action and runs it.
    /// @return false if the queue is empty.
    bool run_next() {
        if (m_events.empty()) {
            return false;
        }
        // top() returns a const reference; moving from it is safe, since the element is popped immediately.
        event next = std::move(const_cast<event&>(m_events.top()));
        m_events.pop();
        m_now = next.when;
        next.action();
        return true;
    }

    absl::Time now() const {
        return m_now;
    }

private:
    struct event {
        absl::Time when;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return std::pair(when, sequence) > std::pair(other.when, other.sequence);
        }
    };

    absl::Time m_now;
    std::uint64_t m_next_sequence = 0;
    std::priority_queue<event> m_events;
};

} // namespace amaranthladder
