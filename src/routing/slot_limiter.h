#pragma once

#include "common/result_code.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Number of a request, unique among the requests at one limiter.
using request_id = std::uint64_t;

/// Order in which waiting requests are started.
enum class queue_order {
    fifo,              ///< Oldest first.
    lifo,              ///< Newest first.
    earliest_deadline, ///< The request whose deadline is nearest first.
    /// Requests that can still be answered by their targets first, the most urgent of them first; then the late ones.
    /// A request that cannot meet its target is refused at once while others can: its wait would only make more late.
    target_first,
};

/// What a request asks of a limiter.
struct slot_request {
    request_id id = 0;
    absl::Time deadline;                             ///< When the caller stops waiting.
    std::string kind;                                ///< Requests of one kind, such as a route, take similar time.
    absl::Time target_time = absl::InfiniteFuture(); ///< Until when the answer is worth most; used by target_first.
    int priority = 0;                                ///< 0 is the most urgent; used by target_first.
};

/// Constants of slot_limiter; docs/routing.md gives the reasons.
struct slot_limiter_policy {
    queue_order order = queue_order::earliest_deadline;
    double service_time_weight = 0.05; ///< Weight of one new service time in the running average.
    bool displaces_latest =
        true; ///< A full queue gives up its latest deadline for an earlier one; earliest_deadline only.
    /// A request counts as in time if this multiple of its kind's mean service time is left. Service times spread; with
    /// the mean alone, about half of the requests started last would be late. For target_first.
    double target_margin = 1.25;
    bool drops_unmeetable = true; ///< False: only requests whose deadline has passed are dropped. For comparisons.
};

/// Answer of slot_limiter::offer.
struct admission {
    enum class verdict { run, queued, refused };

    verdict result = verdict::refused;
    result_code refusal = result_code::ok; ///< queue_full, queue_deadline, deadline_expired or upstream_leaving.
};

/// What the caller of the limiter must do after an event.
struct slot_change {
    std::vector<request_id> run;     ///< Start these now; each holds a slot until finish.
    std::vector<request_id> dropped; ///< Refuse these with result_code::queue_deadline; they were not run.
};

/// Where a cancelled request was.
enum class cancel_result {
    unknown, ///< It is neither queued nor running.
    queued,  ///< It was removed from the queue and has not run.
    running, ///< It holds its slot until finish is called.
};

/// Limits the requests that run at one upstream to its slots and holds a short queue of requests that can still meet
/// their deadlines.
///
/// Each offered request ends in exactly one of: run (then finish), refused, dropped, or cancelled while queued.
class slot_limiter {
public:
    /// @param slots requests that the upstream runs at once, at least 1.
    /// @param queue_limit requests that may wait, at least 0.
    /// @param policy the constants.
    slot_limiter(int slots, int queue_limit, slot_limiter_policy policy = {});

    /// Decides about a new request. If it displaces a queued one, that one is reported by the next call of expire or
    /// finish, and next_expiry() says that expire is due: read next_expiry() after each offer that was queued.
    /// @param id must not be queued or running here.
    /// @param deadline when the caller stops waiting.
    /// @param now the time.
    /// @param kind requests of one kind, such as a route, take similar time at the upstream.
    /// @return run, queued or refused with a "not run" code.
    /// @throws error with result_code::internal_error if @p id is queued or running.
    admission offer(request_id id, absl::Time deadline, absl::Time now, const std::string& kind = {});

    /// As above, with a target and a priority.
    admission offer(const slot_request& request, absl::Time now);

    /// @return the running average of the service times of a kind; zero before the first one.
    absl::Duration service_time(const std::string& kind) const;

    /// @return how long a request of the lowest priority would wait for a slot now.
    absl::Duration backlog() const;

    /// Frees the slot of a request and fills free slots from the queue. An unknown @p id frees nothing.
    slot_change finish(request_id id, absl::Time now);

    /// Drops waiting requests that can no longer meet their deadlines, or were displaced.
    std::vector<request_id> expire(absl::Time now);

    /// Removes a waiting request.
    cancel_result cancel(request_id id);

    /// Refuses new work from now on. Queued requests are still served.
    void set_leaving();

    /// Accepts new work again, after the upstream was announced anew.
    void clear_leaving();

    /// Changes the limits. Running requests are not interrupted: fewer slots take effect as requests finish.
    /// @return requests that may run now.
    slot_change set_limits(int slots, int queue_limit, absl::Time now);

    /// @return when expire would next drop a request, which may be in the past; nothing if no request waits.
    std::optional<absl::Time> next_expiry() const;

    /// @return true if the upstream is leaving and neither runs nor queues a request.
    bool is_drained() const;

    bool is_leaving() const {
        return m_is_leaving;
    }

    int running() const {
        return static_cast<int>(m_running.size());
    }

    int queued() const {
        return static_cast<int>(m_queue.size());
    }

    int slots() const {
        return m_slots;
    }

    /// @return running and queued requests over slots, the load that the owner reports on answers.
    double load() const;

    /// @return the running average of the service times of all requests; zero before the first one.
    absl::Duration service_time() const {
        return m_service_time;
    }

private:
    struct waiting_request {
        request_id id;
        absl::Time deadline;
        std::size_t kind;
        absl::Time target_time;
        int priority = 0;
    };
    struct running_request {
        request_id id;
        absl::Time started;
        std::size_t kind;
    };

    absl::Time latest_start(const waiting_request& waiting) const;
    absl::Duration service_time_of(std::size_t kind) const;
    bool is_in_time(const waiting_request& waiting, absl::Time start) const;
    bool is_any_in_time(absl::Time now) const;
    bool is_before(const waiting_request& left, const waiting_request& right, absl::Time now) const;
    admission::verdict admit_by_target(const waiting_request& offered, absl::Time now) const;
    std::ptrdiff_t count_in_time_ahead(const waiting_request& offered, absl::Time now) const;
    std::size_t kind_index(const std::string& kind);
    absl::Duration expected_wait(absl::Time deadline) const;
    slot_change start_queued(absl::Time now);
    std::size_t next_position(absl::Time now) const;
    bool displace_for(const waiting_request& offered);
    void report_displaced(std::vector<request_id>& dropped);
    bool is_known(request_id id) const;
    void update_average(absl::Duration& average, absl::Duration sample) const;

    slot_limiter_policy m_policy;
    int m_slots;
    int m_queue_limit;
    bool m_is_leaving = false;
    std::vector<running_request> m_running; // Slots are few, so a scan is faster than a tree.
    std::vector<waiting_request> m_queue;   // In order of arrival.
    std::vector<request_id> m_displaced;    // Not reported yet.
    absl::Duration m_service_time;
    absl::flat_hash_map<std::string, std::size_t> m_kind_indexes;
    std::vector<absl::Duration> m_service_time_by_kind; ///< Zero before the first one of the kind.
};

} // namespace amaranthladder
