#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace amaranthladder {

/// Runs actions in the order of their times; actions of one time run in the order in which they were added.
class event_queue {
public:
    explicit event_queue(absl::Time start) : m_now(start) {}

    /// @param when not before now.
    void add(absl::Time when, std::function<void()> action) {
        m_events.push(event{when, m_next_sequence++, std::move(action)});
    }

    /// Runs the next action.
    /// @return false if there is none.
    bool run_next() {
        if (m_events.empty()) {
            return false;
        }
        // The top of a priority queue is const; the element is removed before anything else can see it.
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
