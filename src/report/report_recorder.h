#pragma once

#include "report/month_record.h"
#include "report/month_table.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/random/uniform_real_distribution.h>
#include <absl/time/time.h>

#include <algorithm>
#include <deque>
#include <utility>
#include <variant>

namespace amaranthladder {

/// Writes records to the store and queues them while the store is unavailable.
///
/// A record leaves the queue only once the store has it. An unknown outcome is resolved by adding the record again,
/// which reads the page back and finds the id if the write was applied.
template <key_value_store Store> class report_recorder {
public:
    /// @param table receives the records; must outlive this object.
    /// @param max_pending capacity of the queue in records.
    report_recorder(month_table<Store>& table, std::size_t max_pending)
        : m_table(table), m_max_pending(std::max<std::size_t>(1, max_pending)) {}

    /// Queues a record. When the queue is full the oldest sample is dropped, or the oldest outcome if all are outcomes.
    void add(month_record record) {
        if (m_pending.size() >= m_max_pending) {
            const auto sample = std::ranges::find_if(m_pending, [](const month_record& queued) {
                return std::holds_alternative<traffic_sample>(queued.content);
            });
            m_pending.erase(sample == m_pending.end() ? m_pending.begin() : sample);
            ++m_dropped;
        }
        m_pending.push_back(std::move(record));
    }

    /// Writes the pending records until a call fails; then backs off, capped and with jitter.
    /// @param now current time.
    /// @param random source of the jitter.
    void run(absl::Time now, absl::BitGenRef random) {
        if (now < m_next_attempt) {
            return;
        }
        while (!m_pending.empty()) {
            if (m_table.add(m_pending.front()) != store_outcome::ok) {
                m_backoff = std::clamp(2 * m_backoff, absl::Seconds(1), absl::Seconds(60));
                m_next_attempt = now + m_backoff * absl::uniform_real_distribution<double>(0.5, 1.0)(random);
                return;
            }
            m_pending.pop_front();
            m_backoff = absl::ZeroDuration();
        }
    }

    /// @return number of records that are not known to be in the store.
    std::size_t pending() const {
        return m_pending.size();
    }

    /// @return number of records lost because the queue was full.
    std::size_t dropped() const {
        return m_dropped;
    }

private:
    month_table<Store>& m_table;
    std::size_t m_max_pending;
    std::deque<month_record> m_pending;
    std::size_t m_dropped = 0;
    absl::Duration m_backoff;
    absl::Time m_next_attempt = absl::InfinitePast();
};

} // namespace amaranthladder
