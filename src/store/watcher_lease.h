#pragma once

#include "common/backoff.h"
#include "common/state_chart.h"
#include "common/token_bucket.h"
#include "store/key_value_store.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// Settings of one watcher lease.
struct watcher_lease_settings {
    std::string key;                        ///< Store key of the lease, see watcher_lease_key().
    std::string holder;                     ///< Unique to this process, so that a restarted daemon is another holder.
    absl::Duration ttl = absl::Seconds(15); ///< Lifetime of the lease, which is renewed after a third of it.
    /// Mean time between two attempts of all daemons of a data centre to acquire the lease, whatever their number. It
    /// grows from the minimum to the maximum with the time without a holder.
    absl::Duration min_attempt_interval = absl::Milliseconds(500);
    absl::Duration max_attempt_interval = absl::Seconds(10);
    /// During the settle time after its start, a daemon assumes at least this many daemons in the data centre: daemons
    /// that start together do not know each other yet, and with a count of 1 all would call at once.
    int min_candidates = 8;
    absl::Duration settle_time = absl::Seconds(30);
    /// Store calls for this lease that may be made in a burst, and the time after which another one is allowed.
    /// Renewals need one call per third of the lifetime.
    int budget_calls = 6;
    absl::Duration budget_refill = absl::Milliseconds(2500);
};

/// Number of watcher leases of a data centre.
inline constexpr int watcher_leases_per_data_center = 2;

/// @param data_center name of the data centre.
/// @param number 1 to watcher_leases_per_data_center.
/// @return the store key of the lease.
std::string watcher_lease_key(const std::string& data_center, int number);

/// Store call that a watcher lease needs.
enum class lease_call { none, acquire, renew, release };

/// Decides when to acquire, renew and release a watcher lease, whose holder watches the store for its data centre.
/// charts/watcher_lease.ini has its states.
///
/// A daemon without the lease makes no store calls while its peers report a living holder, so the steady number of
/// calls does not grow with the number of daemons. While there is no holder, each daemon draws the delays between its
/// attempts from an exponential distribution whose mean is the attempt interval times the number of daemons; all
/// daemons together then make one attempt per interval on average. Times must come from a monotonic clock.
///
/// A holder determines from its own clock when its lease has expired, counted from the sending of the last successful
/// renewal and shortened by a tenth to allow for clock drift. If the process is paused between is_held() and the action
/// that follows, or if the store ends leases early, two holders can act at the same time. This is harmless: a holder
/// only distributes versions, and these are ordered.
class watcher_lease {
public:
    /// @param settings the settings.
    /// @param now the current time.
    watcher_lease(watcher_lease_settings settings, absl::Time now);

    /// Reports that the membership knows no living holder. May be called repeatedly.
    /// @param candidates number of living daemons of the data centre including this one, at least 1.
    void on_holder_silent(int candidates, absl::Time now, absl::BitGenRef random);

    /// Reports that the membership knows a living holder other than this daemon. May be called repeatedly.
    void on_holder_seen();

    /// @return the call to make now. Each call other than `none` must be followed by on_reply().
    lease_call next_call(absl::Time now, absl::BitGenRef random);

    /// Processes the result of the last call.
    /// @param outcome its outcome.
    /// @param granted the lease, if the outcome is ok and the call was not a release.
    void on_reply(store_outcome outcome, const lease& granted, absl::Time now, absl::BitGenRef random);

    /// Prepares for the stop of the daemon: the next call releases a held lease, and no attempts follow.
    void stop(absl::Time now);

    /// @return true if this daemon holds the lease. Must be checked before each action of a holder.
    bool is_held(absl::Time now) const;

    /// @return when next_call() must be called again; InfiniteFuture if nothing changes before the next event.
    absl::Time next_time() const;

    /// @return the lease to renew or release.
    const lease& held_lease() const {
        return m_lease;
    }

    /// @return the name of the state in charts/watcher_lease.ini.
    const std::string& state() const {
        return m_state;
    }

    const watcher_lease_settings& settings() const {
        return m_settings;
    }

private:
    void fire(const char* event);
    void schedule_attempt(absl::Time now, absl::BitGenRef random);
    absl::Duration attempt_interval(absl::Time now) const;
    lease_call begin_call(lease_call call, const char* event, absl::Time now);
    void on_granted(const lease& granted, absl::Time now, absl::BitGenRef random);
    void on_not_granted(bool is_refused, absl::Time now, absl::BitGenRef random);

    watcher_lease_settings m_settings;
    state_chart m_chart;
    std::string m_state;
    token_bucket m_budget;
    absl::Time m_settled_at;
    int m_candidates = 1;
    absl::Time m_no_holder_since;
    backoff m_renewal_backoff;
    absl::Time m_due_at = absl::InfiniteFuture();
    /// While waiting, m_due_at is the time of an attempt (true) or of a new draw (false).
    bool m_is_attempt_scheduled = false;
    absl::Time m_sent_at;
    absl::Time m_valid_until = absl::InfinitePast();
    lease m_lease;
    bool m_is_stopping = false;
};

/// Makes the store call that a watcher lease needs now, if any.
/// @param held the lease.
/// @param store the platform's store.
/// @param now returns the current time; called again after the store call.
/// @param deadline maximum duration of the store call.
template <key_value_store Store, typename Clock>
void make_lease_call(watcher_lease& held, Store& store, Clock now, absl::Duration deadline, absl::BitGenRef random) {
    const watcher_lease_settings& settings = held.settings();
    switch (held.next_call(now(), random)) {
    case lease_call::none:
        return;
    case lease_call::acquire: {
        const auto result = store.acquire_lease(settings.key, settings.holder, settings.ttl, deadline);
        return held.on_reply(result.outcome, result.value.value_or(lease{}), now(), random);
    }
    case lease_call::renew: {
        const auto result = store.renew_lease(held.held_lease(), deadline);
        return held.on_reply(result.outcome, result.value.value_or(lease{}), now(), random);
    }
    case lease_call::release:
        return held.on_reply(store.release_lease(held.held_lease(), deadline).outcome, {}, now(), random);
    }
}

} // namespace amaranthladder
