#pragma once

#include "common/result_code.h"
#include "routing/cold_start_limit.h"
#include "routing/fair_order.h"
#include "routing/nested_reserve.h"
#include "routing/priority_balance.h"
#include "routing/start_rate.h"
#include "routing/unknown_rate_limit.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthladder {

/// Id of a request, unique within a limiter.
using request_id = std::uint64_t;

/// Order in which queued requests are started.
enum class queue_order {
    fifo,              ///< Oldest first.
    lifo,              ///< Newest first.
    earliest_deadline, ///< Earliest deadline first (EDF).
    /// Requests that can still meet their targets first: nested calls before others, then by priority, tenant
    /// (fair_order) and target. Then late ones, in the same way, by deadline instead of target. While others can meet
    /// their targets, a request that cannot is refused, since it would delay those; but it is not refused for less
    /// urgent ones while its priority is refused more often than theirs (priority_balance).
    target_first,
};

/// A request for a slot.
struct slot_request {
    request_id id = 0;
    absl::Time deadline; ///< When the caller stops waiting.
    std::string kind;    ///< Requests of one kind, such as a route, have similar service times.
    absl::Time target_time = absl::InfiniteFuture(); ///< When the target latency ends; for target_first.
    int priority = 0;                                ///< 0 is the most urgent; for target_first.
    std::string tenant = {};                         ///< Tenant that the request is for; empty: none. For target_first.
    double tenant_weight = 0;                        ///< Requests per second that the tenant is allowed; 0: not stated.
    bool is_nested = false;                          ///< Sent by an upstream while it runs a request; for target_first.
};

/// Parameters of slot_limiter; docs/routing.md gives the reasons.
struct slot_limiter_policy {
    queue_order order = queue_order::earliest_deadline;
    double service_time_weight = 0.05; ///< Weight of a new sample in the moving average.
    /// A full queue drops its request with the latest deadline for one with an earlier deadline; for earliest_deadline.
    bool displaces_latest = true;
    /// A request is in time if at least this multiple of the mean service time of its kind remains. With the mean
    /// alone, about half of the requests that start last would be late, since service times vary. For target_first.
    double target_margin = 1.25;
    /// Requests that can no longer meet their deadlines are dropped. False: only expired ones; for comparisons.
    bool drops_unmeetable = true;
    /// While nested calls are offered, at most this share of the slots is kept free of new work (nested_reserve); for
    /// target_first. 0: nested calls only go first in the queue.
    double max_nested_reserve = 0;
    cold_start_policy cold = {}; ///< What a cold upstream may get.
};

/// Result of slot_limiter::offer.
struct admission {
    enum class verdict { run, queued, refused };

    verdict result = verdict::refused;
    result_code refusal = result_code::ok; ///< queue_full, queue_deadline, deadline_expired,
    ///< upstream_leaving or the code of set_refusal.
};

/// What the user of the limiter must do after a change.
struct slot_change {
    std::vector<request_id> run;     ///< Start these now; each holds a slot until finish is called.
    std::vector<request_id> dropped; ///< Refuse these with slot_limiter::drop_reason(); they have not run.
};

/// State of a request when it was cancelled.
enum class cancel_result {
    unknown, ///< Neither queued nor running.
    queued,  ///< Removed from the queue; it has not run.
    running, ///< Still running; it holds its slot until finish is called.
};

/// Limits the concurrent requests at one upstream to its slots, and their rate if it asks for that, with a short queue
/// for requests that can still meet their deadlines (admission control).
///
/// Each offered request has exactly one result: it runs until finish is called, is refused, is dropped, or is cancelled
/// while queued.
class slot_limiter {
public:
    /// @param slots requests that the upstream may run at once, at least 1.
    /// @param queue_limit requests that may be queued, at least 0.
    /// @param policy parameters.
    slot_limiter(int slots, int queue_limit, slot_limiter_policy policy = {});

    /// Runs, queues or refuses a new request. A queued request that it displaces is reported by the next call of expire
    /// or finish, and next_expiry() is then in the past: read it after each offer that was queued.
    /// @param id id of the request.
    /// @param deadline when the caller stops waiting.
    /// @param now current time.
    /// @param kind requests of one kind, such as a route, have similar service times.
    /// @return run, queued, or refused with a "not run" code.
    /// @throws error with result_code::internal_error if @p id is already queued or running.
    admission offer(request_id id, absl::Time deadline, absl::Time now, const std::string& kind = {});

    /// @overload
    admission offer(const slot_request& request, absl::Time now);

    /// @return moving average of the service time of a kind; zero before the first sample.
    absl::Duration service_time(const std::string& kind) const;

    /// @return moving average of the service time of a kind; of all requests before the first sample of the kind.
    absl::Duration expected_service_time(const std::string& kind) const;

    /// @return expected wait until a new request that is queued last can start.
    absl::Duration backlog(absl::Time now) const;

    /// @param ending running requests whose slots are about to be freed.
    /// @return expected wait until a new request of a priority can start; zero if it can start now.
    absl::Duration wait_of(int priority, absl::Time now, int ending = 0) const;

    /// @return part of the recent offers of a priority that did not run; 0 without any.
    double refused_share(int priority) const {
        return m_balance.refused_share(priority);
    }

    /// Frees the slot of a request and starts queued requests. Does nothing if @p id is not running.
    slot_change finish(request_id id, absl::Time now);

    /// Drops queued requests that can no longer meet their deadlines, and reports displaced ones.
    /// @return the dropped and displaced requests.
    std::vector<request_id> expire(absl::Time now);

    /// Removes a queued request.
    cancel_result cancel(request_id id);

    /// Refuses new requests from now on. Queued requests are served as long as they can end while the upstream still
    /// serves.
    /// @param serves_until when the upstream may end; of several calls the earliest time counts.
    /// @param now current time.
    /// @return queued requests whose turn would come too late, to be refused now.
    std::vector<request_id> set_leaving(absl::Time serves_until = absl::InfiniteFuture(),
                                        absl::Time now = absl::InfinitePast());

    /// Accepts new requests again, after a new announcement of the upstream.
    void clear_leaving();

    /// @return true if a request that holds a slot may be sent to the upstream.
    bool may_send(absl::Time now) const {
        return m_refusal == result_code::ok && now < m_serves_until;
    }

    /// Refuses all requests, also queued ones and those that hold a slot but have not been sent.
    /// @param code code of the refusals; ok: requests are accepted again.
    /// @return queued requests, to be refused now with drop_reason().
    std::vector<request_id> set_refusal(result_code code);

    /// @return the code with which dropped requests are refused.
    result_code drop_reason() const {
        if (m_refusal != result_code::ok) {
            return m_refusal;
        }
        return m_is_leaving ? result_code::upstream_leaving : result_code::queue_deadline;
    }

    /// Changes the limits. Running requests are not interrupted: a lower limit takes effect as requests finish.
    /// @return requests to start or refuse now.
    slot_change set_limits(int slots, int queue_limit, absl::Time now);

    /// Limits the rate at which requests start, whatever slots are free. The limit is known from then on.
    /// @param per_second starts per second; nothing lifts the limit.
    /// @param now current time.
    /// @return requests to start or refuse now.
    slot_change set_rate_limit(std::optional<double> per_second, absl::Time now);

    /// @return whether the upstream's rate limit is known. Its changes take effect with the next start_permitted().
    unknown_rate_limit& rate_limit_knowledge() {
        return m_rate_limit_knowledge;
    }

    /// @copydoc rate_limit_knowledge
    const unknown_rate_limit& rate_limit_knowledge() const {
        return m_rate_limit_knowledge;
    }

    /// @return the limit of a cold upstream. Its changes take effect with the next start_permitted().
    cold_start_limit& cold_starts() {
        return m_cold_starts;
    }

    /// @copydoc cold_starts
    const cold_start_limit& cold_starts() const {
        return m_cold_starts;
    }

    /// Starts queued requests that waited for the rate limit. Call it repeatedly while requests are queued.
    /// @return requests to start or refuse now.
    slot_change start_permitted(absl::Time now);

    /// Counts a request that is sent a second time against the rate limit.
    /// @return false if the limit does not allow it now, or if the upstream may have ended.
    bool try_repeat(absl::Time now);

    /// @return when to call expire next, which may be in the past; nothing if the queue is empty.
    std::optional<absl::Time> next_expiry() const;

    /// @return true if the upstream is leaving and no request is running or queued.
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

    /// @return slots that new work may not use, since nested calls need them.
    int reserved_slots(absl::Time now) const;

    /// @return running and queued requests per slot, which the owner reports with responses. If the rate limit makes a
    ///         new request wait longer than the slots do, the load at which the slots would do so.
    double load(absl::Time now) const;

    /// @return requests per second that may start; nothing if only the slots limit them.
    std::optional<double> rate_limit(absl::Time now) const;

    /// @return moving average of the service time of all requests; zero before the first sample.
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
        fair_order::tenant_index tenant = 0;
        bool is_nested = false;
        bool is_favoured = false; ///< Is not refused for less urgent requests, although it is late.
    };
    struct running_request {
        request_id id;
        absl::Time started;
        std::size_t kind;
        bool is_nested = false;
    };

    bool has_free_slot() const {
        return running() < m_rate_limit_knowledge.usable_slots(m_slots);
    }
    bool may_start(absl::Time now) const;
    /// @return true if a slot is free for new work or, if @p is_nested, for a nested call.
    bool is_slot_free(bool is_nested, absl::Time now, int ending = 0) const;
    absl::Duration wait_for_start(std::ptrdiff_t ahead, absl::Time now) const;
    absl::Time latest_start(const waiting_request& waiting) const;
    absl::Duration service_time_of(std::size_t kind) const;
    bool is_in_time(const waiting_request& waiting, absl::Time start) const;
    bool is_before(const waiting_request& left, const waiting_request& right, absl::Time now) const;
    /// @return true if a queued request that can meet its target goes before @p waiting.
    bool is_any_in_time_ahead(const waiting_request& waiting, absl::Time now) const;
    std::ptrdiff_t count_ahead(const waiting_request& waiting, absl::Time now) const;
    std::ptrdiff_t count_in_time_ahead(const waiting_request& offered, absl::Time now) const;
    /// Queues or refuses a request by its target.
    admission offer_by_target(waiting_request offered, absl::Time now);
    /// @return how much longer a request waits because more urgent ones will arrive and go before it. Applied only
    ///         while requests are refused: others would be queued until they are late, and only then be refused.
    absl::Duration overtaken_wait(absl::Duration wait, int priority, absl::Time now) const;
    bool is_admitted(const waiting_request& offered, absl::Time now) const;
    /// Displaces the queued request that would start last, if @p offered is more urgent or its tenant has used less.
    bool displace_last_for(const waiting_request& offered, absl::Time now);
    std::size_t kind_index(const std::string& kind);
    absl::Duration expected_wait(absl::Time deadline, absl::Time now) const;
    absl::Duration wait_behind(std::ptrdiff_t ahead, absl::Time now) const;
    void start(const waiting_request& started, absl::Time now);
    slot_change start_queued(absl::Time now);
    /// @param takes_nested_only new work may not start now.
    /// @return position of the queued request that starts next; the queue's size if none may.
    std::size_t next_position(absl::Time now, bool takes_nested_only = false) const;
    bool displace_for(const waiting_request& offered);
    void report_displaced(std::vector<request_id>& dropped);
    bool is_known(request_id id) const;
    void update_average(absl::Duration& average, absl::Duration sample) const;

    slot_limiter_policy m_policy;
    int m_slots;
    int m_queue_limit;
    bool m_is_leaving = false;
    absl::Time m_serves_until = absl::InfiniteFuture(); ///< Nothing is sent to a leaving upstream after this time.
    result_code m_refusal = result_code::ok;            ///< Unless ok, the code with which all requests are refused.
    start_rate m_start_rate;
    unknown_rate_limit m_rate_limit_knowledge;
    fair_order m_tenants;
    priority_balance m_balance;
    nested_reserve m_nested_reserve;
    cold_start_limit m_cold_starts;
    std::vector<running_request> m_running; // Small, so a scan is faster than a tree.
    std::vector<waiting_request> m_queue;   // In order of arrival.
    std::vector<request_id> m_displaced;    // Not reported yet.
    absl::Duration m_service_time;
    absl::flat_hash_map<std::string, std::size_t> m_kind_indexes;
    std::vector<absl::Duration> m_service_time_by_kind; ///< Zero before the first sample of the kind.
};

} // namespace amaranthladder
