#include "store/watcher_lease.h"

#include "../../bench/store_stand_in_state.h"
#include "store/call_counter.h"

#include <absl/random/distributions.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <vector>

using namespace amaranthladder;

namespace {

constexpr absl::Duration limit = absl::Seconds(2);

watcher_lease_settings settings_of(int daemon) {
    watcher_lease_settings settings;
    settings.key = watcher_lease_key("nord", 1);
    settings.holder = fmt::format("d{}", daemon);
    return settings;
}

store_outcome call_store(store_stand_in_state& store, lease_call kind, const watcher_lease_settings& settings,
                         const lease& held, lease& granted) {
    store_result<lease> result;
    if (kind == lease_call::acquire) {
        result = store.acquire_lease(settings.key, settings.holder, settings.ttl, limit);
    } else if (kind == lease_call::renew) {
        result = store.renew_lease(held, limit);
    } else {
        return store.release_lease(held, limit).outcome;
    }
    granted = result.value.value_or(lease{});
    return result.outcome;
}

/// Simulates daemons that compete for one lease, with delayed calls, lost responses, pauses and clock drift.
class contention_simulation {
public:
    contention_simulation(std::uint64_t seed, int daemons, int lease_lifetime_percent)
        : m_random(seed), m_store([this] { return m_now; }) {
        store_faults faults;
        faults.lease_lifetime_percent = lease_lifetime_percent;
        m_store.set_faults(faults);
        for (int number = 0; number < daemons; ++number) {
            auto& added = m_daemons.emplace_back();
            added.rate = absl::Uniform(m_random, 0.98, 1.02);
            added.offset = absl::Seconds(absl::Uniform(m_random, -1000, 1000));
            added.held = std::make_unique<watcher_lease>(settings_of(number), added.local_time(m_now));
        }
    }

    void run(int steps) {
        for (int step = 0; step < steps; ++step) {
            m_now += step_time;
            for (daemon& each : m_daemons) {
                advance(each);
            }
            count_holders();
        }
    }

    static constexpr absl::Duration step_time = absl::Milliseconds(100);

    absl::Duration held_time; ///< Time with at least one holder according to is_held().
    absl::Duration overlap;   ///< Time with more than one holder according to is_held().
    /// Longest time for which a holder acts although the store has granted a newer lease.
    absl::Duration longest_outdated;
    absl::Duration overlap_by_state; ///< Time with more than one holder if holders did not check their clocks.

private:
    struct pending_call {
        lease_call kind = lease_call::none;
        absl::Time applies_at;
        absl::Time responds_at;
        bool is_applied = false;
        bool is_response_lost = false;
        store_outcome outcome = store_outcome::unavailable;
        lease granted;
    };

    struct daemon {
        std::unique_ptr<watcher_lease> held;
        double rate = 1;
        absl::Duration offset;
        absl::Time wakes_at;
        std::optional<pending_call> call;
        absl::Duration outdated;

        absl::Time local_time(absl::Time now) const {
            return absl::UnixEpoch() + (now - absl::UnixEpoch()) * rate + offset;
        }
    };

    void advance(daemon& each) {
        apply(each);
        if (m_now < each.wakes_at) {
            return;
        }
        // Many pauses are longer than the lifetime of the lease.
        if (absl::Bernoulli(m_random, 0.002)) {
            each.wakes_at = m_now + absl::Milliseconds(absl::Uniform(m_random, 100, 40'000));
            return;
        }
        const absl::Time local = each.local_time(m_now);
        if (each.call) {
            if (m_now >= each.call->responds_at) {
                const pending_call ended = *std::exchange(each.call, std::nullopt);
                each.held->on_reply(ended.is_response_lost ? store_outcome::unknown : ended.outcome, ended.granted,
                                    local, m_random);
            }
            return;
        }
        // Sometimes the membership wrongly reports that there is no holder.
        if (absl::Bernoulli(m_random, 0.2)) {
            each.held->on_holder_silent(2, local, m_random);
        }
        const lease_call kind = each.held->next_call(local, m_random);
        if (kind != lease_call::none) {
            pending_call call;
            call.kind = kind;
            call.applies_at = m_now + absl::Milliseconds(absl::Uniform(m_random, 0, 1000));
            call.responds_at = call.applies_at + absl::Milliseconds(absl::Uniform(m_random, 0, 1000));
            call.is_response_lost = absl::Bernoulli(m_random, 0.1);
            each.call = call;
        }
    }

    void apply(daemon& each) {
        if (each.call && !each.call->is_applied && m_now >= each.call->applies_at) {
            each.call->is_applied = true;
            if (!absl::Bernoulli(m_random, 0.1)) {
                each.call->outcome = call_store(m_store, each.call->kind, each.held->settings(),
                                                each.held->held_lease(), each.call->granted);
                m_newest_lease = std::max(m_newest_lease, each.call->granted.id);
            }
        }
    }

    void count_holders() {
        int holders = 0;
        int holders_by_state = 0;
        for (const daemon& each : m_daemons) {
            holders += each.held->is_held(each.local_time(m_now)) ? 1 : 0;
            holders_by_state += each.held->state() == "holding" || each.held->state() == "renewing" ? 1 : 0;
        }
        held_time += holders > 0 ? step_time : absl::ZeroDuration();
        overlap += holders > 1 ? step_time : absl::ZeroDuration();
        overlap_by_state += holders_by_state > 1 ? step_time : absl::ZeroDuration();
        for (daemon& each : m_daemons) {
            // The id of the lease increases with each grant.
            const bool is_outdated =
                each.held->is_held(each.local_time(m_now)) && each.held->held_lease().id < m_newest_lease;
            each.outdated = is_outdated ? each.outdated + step_time : absl::ZeroDuration();
            longest_outdated = std::max(longest_outdated, each.outdated);
        }
    }

    std::mt19937_64 m_random;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1000);
    store_stand_in_state m_store;
    std::vector<daemon> m_daemons;
    std::uint64_t m_newest_lease = 0;
};

std::uint64_t test_seed() {
    const char* const text = std::getenv("AMARANTHLADDER_TEST_SEED");
    return text != nullptr ? std::stoull(text) : std::random_device{}();
}

/// Conditions and limits for one hour of a data centre with one lease.
struct load_row {
    const char* name;
    int daemons;
    absl::Duration outage;         ///< Outage of the store, from the start.
    absl::Duration peers_known_at; ///< Time from the start until which each daemon knows only itself.
    absl::Duration holder_life;    ///< Time after which each holder dies.
    std::uint64_t max_calls;
    absl::Duration max_without_holder; ///< Limit for the time after the outage and after the death of a holder.

    friend std::ostream& operator<<(std::ostream& out, const load_row& row) {
        return out << row.name;
    }
};

constexpr absl::Duration never = absl::Hours(2);
constexpr absl::Duration none;

// Renewals need 720 calls an hour, and at most 800 with their jitter.
const load_row load_rows[] = {
    {"steady, 20 daemons", 20, none, none, never, 820, absl::Seconds(30)},
    {"steady, 200 daemons", 200, none, none, never, 820, absl::Seconds(30)},
    {"steady, 2000 daemons", 2000, none, none, never, 820, absl::Seconds(30)},
    {"herd restart, 200 daemons", 200, none, absl::Seconds(5), never, 1'200, absl::Seconds(30)},
    {"outage of an hour, 20 daemons", 20, absl::Hours(1), none, never, 600, never},
    {"outage of an hour, 200 daemons", 200, absl::Hours(1), none, never, 600, never},
    {"outage of an hour, 2000 daemons", 2000, absl::Hours(1), none, never, 600, never},
    {"herd restart in an outage of 20 minutes, 200 daemons", 200, absl::Minutes(20), absl::Seconds(5), never, 1'000,
     absl::Minutes(2)},
    {"holder dies every 2 minutes, 200 daemons", 200, none, none, absl::Minutes(2), 1'500, absl::Seconds(60)},
    {"two daemons, holder dies every 5 minutes", 2, none, none, absl::Minutes(5), 1'500, absl::Minutes(1)},
};

/// Simulates a row. The membership reports a new or a lost holder after a few seconds.
class call_load_simulation {
public:
    explicit call_load_simulation(const load_row& row)
        : m_row(row), m_random(11), m_store([this] { return m_now; }), m_start(m_now) {
        for (int number = 0; number < row.daemons; ++number) {
            m_watcher_leases.push_back(std::make_unique<watcher_lease>(settings_of(number), m_now));
        }
    }

    void run() {
        set_down(m_row.outage > none);
        while (m_now < m_start + absl::Hours(1)) {
            m_now += step_time;
            if (m_now - m_start >= m_row.outage) {
                set_down(false);
            }
            update_holder();
            const bool is_heard = m_now - m_holder_since > gossip_time;
            for (const auto& each : m_watcher_leases) {
                if (m_holder != nullptr && is_heard) {
                    each->on_holder_seen();
                } else if (m_holder == nullptr && is_heard) {
                    const bool knows_peers = m_now - m_start >= m_row.peers_known_at;
                    each->on_holder_silent(knows_peers ? m_row.daemons : 1, m_now, m_random);
                }
                if (m_now >= each->next_time()) {
                    make_lease_call(
                        *each, m_store, [this] { return m_now; }, limit, m_random);
                }
            }
        }
    }

    std::uint64_t calls() const {
        const store_call_counts counts = m_store.counts();
        return counts.acquire + counts.renew + counts.release;
    }

    absl::Duration longest_without_holder;

private:
    static constexpr absl::Duration step_time = absl::Milliseconds(100);
    static constexpr absl::Duration gossip_time = absl::Seconds(3);

    void set_down(bool is_down) {
        if (is_down != m_is_down) {
            store_faults faults;
            faults.is_down = is_down;
            m_store.set_faults(faults);
            m_is_down = is_down;
        }
    }

    void update_holder() {
        watcher_lease* holder = nullptr;
        for (auto& each : m_watcher_leases) {
            if (each->is_held(m_now)) {
                holder = each.get();
                if (m_holder == holder && m_now - m_holder_since >= m_row.holder_life) {
                    // The process dies and another one replaces it.
                    watcher_lease_settings settings = settings_of(++m_restarts + 10'000);
                    each = std::make_unique<watcher_lease>(std::move(settings), m_now);
                    holder = nullptr;
                }
                break;
            }
        }
        if (holder != m_holder) {
            m_holder = holder;
            m_holder_since = m_now;
        }
        if (m_holder == nullptr && !m_is_down) {
            longest_without_holder =
                std::max(longest_without_holder, m_now - std::max(m_holder_since, m_start + m_row.outage));
        }
    }

    const load_row& m_row;
    std::mt19937_64 m_random;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1000);
    store_stand_in_state m_store;
    absl::Time m_start;
    std::vector<std::unique_ptr<watcher_lease>> m_watcher_leases;
    watcher_lease* m_holder = nullptr;
    absl::Time m_holder_since = m_now;
    int m_restarts = 0;
    bool m_is_down = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(watcher_lease_test)

// Guards against two daemons that act as holder of the same lease, in particular one that was paused until after its
// lease expired.
BOOST_AUTO_TEST_CASE(one_holder_at_a_time) {
    const std::uint64_t seed = test_seed();
    fmt::print("watcher_lease_test: AMARANTHLADDER_TEST_SEED={}\n", seed);
    for (const int daemons : {2, 3}) {
        contention_simulation trial(seed, daemons, 100);
        trial.run(200'000);
        BOOST_TEST((trial.overlap == absl::ZeroDuration()));
        BOOST_TEST((trial.longest_outdated == absl::ZeroDuration()));
        BOOST_TEST((trial.held_time > absl::Hours(2)));
        // Confirms that the simulation detects overlaps: holders that relied on their state alone would overlap.
        BOOST_TEST((trial.overlap_by_state > absl::Minutes(1)));
    }
}

// Guards against a holder that acts beyond the lifetime of its lease when the store ends leases early, the documented
// case in which two holders can overlap.
BOOST_AUTO_TEST_CASE(overlap_is_bounded_when_leases_end_early) {
    contention_simulation trial(test_seed(), 3, 30);
    trial.run(200'000);
    BOOST_TEST((trial.overlap > absl::ZeroDuration()));
    BOOST_TEST((trial.longest_outdated <= absl::Seconds(15)));
}

// Guards against store calls that increase with the number of daemons, outages or simultaneous restarts, and against a
// lease that stays without a holder.
BOOST_DATA_TEST_CASE(store_calls_are_bounded, load_rows, row) {
    call_load_simulation hour(row);
    hour.run();
    fmt::print("watcher_lease_test: {}: {} calls, longest without a holder {} s\n", row.name, hour.calls(),
               absl::ToDoubleSeconds(hour.longest_without_holder));
    BOOST_TEST(hour.calls() <= row.max_calls);
    BOOST_TEST((hour.longest_without_holder <= row.max_without_holder));
}

// Guards against a holder that acts until the end of its lease by its own clock, which may be slower than that of the
// store.
BOOST_AUTO_TEST_CASE(holder_stops_before_its_lease_ends) {
    std::mt19937_64 random(1);
    const absl::Time start = absl::UnixEpoch();
    watcher_lease held(settings_of(1), start);
    held.on_holder_silent(1, start, random);
    absl::Time now = start;
    while (held.next_call(now, random) == lease_call::none) {
        now = held.next_time();
    }
    const absl::Time sent = now;
    held.on_reply(store_outcome::ok, lease{held.settings().key, "d1", 1, held.settings().ttl}, sent + absl::Seconds(1),
                  random);
    BOOST_TEST(held.is_held(sent + held.settings().ttl * 0.85));
    BOOST_TEST(!held.is_held(sent + held.settings().ttl * 0.95));
}

// Guards against a stopping daemon that does not release its lease, or that acquires it again.
BOOST_AUTO_TEST_CASE(stopping_releases_the_lease) {
    std::mt19937_64 random(1);
    absl::Time now = absl::UnixEpoch();
    store_stand_in_state store([&now] { return now; });
    const auto clock = [&now] { return now; };
    watcher_lease first(settings_of(1), now);
    first.on_holder_silent(1, now, random);
    now = first.next_time();
    make_lease_call(first, store, clock, limit, random);
    BOOST_REQUIRE(first.is_held(now));
    first.stop(now);
    make_lease_call(first, store, clock, limit, random);
    BOOST_TEST(!first.is_held(now));
    BOOST_TEST(first.state() == "stopped");
    first.on_holder_silent(1, now, random);
    BOOST_TEST((first.next_time() == absl::InfiniteFuture()));
    BOOST_TEST(store.acquire_lease(watcher_lease_key("nord", 1), "d2", absl::Seconds(15), limit).is_ok());
}

// Guards against unlimited store calls of a daemon whose membership flaps.
BOOST_AUTO_TEST_CASE(budget_bounds_a_flapping_membership) {
    std::mt19937_64 random(1);
    absl::Time now = absl::UnixEpoch();
    store_stand_in_state store([&now] { return now; });
    store_faults faults;
    faults.is_down = true;
    store.set_faults(faults);
    watcher_lease_settings settings = settings_of(1);
    settings.min_candidates = 1;
    settings.min_attempt_interval = absl::Milliseconds(1);
    watcher_lease tried(settings, now);
    const absl::Time end = now + absl::Hours(1);
    for (; now < end; now += absl::Milliseconds(50)) {
        tried.on_holder_seen();
        tried.on_holder_silent(1, now, random);
        make_lease_call(
            tried, store, [&now] { return now; }, limit, random);
    }
    BOOST_TEST(store.counts().acquire <= 6U + 3600U * 2 / 5);
}

BOOST_AUTO_TEST_SUITE_END()
