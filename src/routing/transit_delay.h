#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthladder {

/// When a request was sent to this daemon, by the sender's clock.
struct send_stamp {
    std::uint64_t process = 0; ///< Random number of the sending process, whose clock does not jump.
    std::int64_t sent_ms = 0;  ///< Milliseconds; only differences of one process's times are used.

    friend bool operator==(const send_stamp&, const send_stamp&) = default;
};

/// @return the text form of @p stamp: the process in hexadecimal digits, a colon, and the time.
std::string to_string(const send_stamp& stamp);

/// @return the stamp, or nothing if @p text is not of the form of to_string().
std::optional<send_stamp> parse_send_stamp(std::string_view text);

/// Parameters of transit_delay_estimator.
struct transit_delay_policy {
    /// The shortest transit of one to two windows is the reference. Within a minute, two clocks that differ in speed by
    /// 500 parts in a million, the most that time synchronization corrects, drift apart by 30 ms.
    absl::Duration window = absl::Seconds(30);
    absl::Duration min_delay = absl::Milliseconds(50); ///< Shorter delays count as none, because of the drift.
    std::size_t max_senders = 4096;                    ///< Bounds the memory; further senders count as not delayed.
};

/// Estimates how long requests of other daemons were delayed on the way, behind other data on a full link or in a
/// process that did not run. The clocks of two hosts cannot be compared, but the shortest transit seen from a sender
/// shows their difference.
class transit_delay_estimator {
public:
    explicit transit_delay_estimator(transit_delay_policy policy = {});

    /// Records a request.
    /// @param now time of arrival.
    /// @return the time by which its transit exceeded the shortest recent one of the same sender; zero for the first.
    absl::Duration observe(const send_stamp& stamp, absl::Time now);

    /// @return the number of senders that are remembered.
    std::size_t size() const {
        return m_senders.size();
    }

private:
    struct sender {
        absl::Duration shortest_before; ///< Of the window before. Includes the difference of the clocks.
        absl::Duration shortest;        ///< Of the current window.
        absl::Time window_start;
    };

    void remove_silent_senders(absl::Time now);

    transit_delay_policy m_policy;
    absl::flat_hash_map<std::uint64_t, sender> m_senders;
};

} // namespace amaranthladder
