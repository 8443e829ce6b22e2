#pragma once

#include "common/backoff.h"
#include "common/state_chart.h"
#include "common/token_bucket.h"
#include "store/key_value_store.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <string>

namespace amaranthladder {

/// Settings of one seat.
struct watcher_lease_settings {
    std::string key;                        ///< Key of the lease, see watcher_lease_key().
    std::string holder;                     ///< Unique to this run of this daemon, so that a restart is another holder.
    absl::Duration ttl = absl::Seconds(15); ///< Lifetime of the lease; it is renewed after a third of it.
    /// While there is no holder, a data centre makes one attempt in this time on average, whatever its size. The time
    /// grows from the first to the last value with the time that the seat has been empty.
    absl::Duration min_attempt_interval = absl::Milliseconds(500);
    absl::Duration max_attempt_interval = absl::Seconds(10);
    /// For the settle time after its start, a daemon takes the data centre to have at least this many daemons: daemons
    /// that start together do not know each other yet, and with a count of 1 all would call at once.
    int min_candidates = 8;
    absl::Duration settle_time = absl::Seconds(30);
    /// Calls of this daemon for this seat that may follow each other at once, and the time that adds another. Renewals
    /// take one call in a third of the lifetime.
    int budget_calls = 6;
    absl::Duration budget_refill = absl::Milliseconds(2500);
};

/// A data centre has this many seats.
inline constexpr int watcher_leases_per_data_center = 2;

/// @param data_center name of the data centre.
/// @param number 1 to watcher_leases_per_data_center.
/// @return the key of the seat's lease.
std::string watcher_lease_key(const std::string& data_center, int number);

/// The call that a seat needs now.
enum class lease_call { none, acquire, renew, release };

/// Decides when to acquire, renew and release one leased seat; charts/seat.ini has its states.
///
/// Daemons without the seat make no store calls while they hear of a living holder from their peers, so the steady
/// number of calls does not grow with the number of daemons. While there is no holder, each daemon draws its attempts
/// from an exponential distribution whose mean is the number of daemons times the attempt interval, so that the
/// attempts of all keep the attempt interval together. Times are those of a clock that never steps back.
///
/// A holder knows by its own clock when its lease has ended, counted from the sending of the last renewal that
/// succeeded and shortened by a tenth for clocks of different speeds. If the process is paused between is_held() and
/// the act that follows, or if the store ends leases early, two holders can act at once. This is harmless: a holder
/// only pushes versions, which are ordered.
class watcher_lease {
public:
    /// @param settings the settings.
    /// @param now the present time.
    watcher_lease(watcher_lease_settings settings, absl::Time now);

    /// The membership knows no living holder. May be called repeatedly.
    /// @param candidates living daemons of the data centre, this one included, at least 1.
    void on_holder_silent(int candidates, absl::Time now, absl::BitGenRef random);

    /// The membership knows a living holder other than this daemon. May be called repeatedly.
    void on_holder_seen();

    /// @return the call to make now. Each call other than `none` must be followed by on_reply().
    lease_call next_call(absl::Time now, absl::BitGenRef random);

    /// Takes the result of the last call.
    /// @param outcome how it ended.
    /// @param granted the lease, if the outcome is ok and the call was not a release.
    void on_reply(store_outcome outcome, const lease& granted, absl::Time now, absl::BitGenRef random);

    /// The daemon stops: a held seat is released by the next call.
    void stop(absl::Time now);

    /// @return true if this daemon holds the seat. To be asked before each act of a holder.
    bool is_held(absl::Time now) const;

    /// @return when next_call() is to be asked again; InfiniteFuture if only an event changes something.
    absl::Time next_time() const;

    /// @return the lease to renew or release.
    const lease& held_lease() const {
        return m_lease;
    }

    /// @return the name of the state, as in charts/seat.ini.
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
    bool m_is_attempt_scheduled =
        false; ///< While waiting: true if an attempt is due at m_due_at, false if a new draw is.
    absl::Time m_sent_at;
    absl::Time m_valid_until = absl::InfinitePast();
    lease m_lease;
    bool m_is_stopping = false;
};

/// Makes the call that a seat needs now, if any.
/// @param held the seat.
/// @param store the platform's store.
/// @param now returns the present time; called again after the store call.
/// @param deadline longest time of the store call.
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
