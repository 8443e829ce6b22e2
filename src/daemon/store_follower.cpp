#include "daemon/store_follower.h"

#include "common/error.h"
#include "store/config_head.h"
#include "store/head_reader.h"

#include <absl/random/distributions.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

namespace {

/// A day of outage: outcomes of moves and a sample every ten minutes.
constexpr std::size_t max_pending_records = 1024;
constexpr absl::Duration loop_interval = absl::Milliseconds(100);
/// A watch ends when the lease is due for renewal, which is long before it lapses. The lower limit keeps a renewal that
/// is put off from causing a row of short watches, each a store call.
constexpr absl::Duration shortest_watch = absl::Milliseconds(200);
/// Time for all pieces of one version.
constexpr absl::Duration read_limit = absl::Seconds(5);
/// Daemons that start together spread their first read over this time; most then have it from a peer already.
constexpr absl::Duration first_read_spread = absl::Seconds(1);
constexpr absl::Duration first_read_delay = absl::Milliseconds(500);
constexpr absl::Duration longest_read_delay = absl::Seconds(15);

seat_settings make_seat_settings(const std::string& data_center, const std::string& holder, int number,
                                 absl::Duration ttl) {
    seat_settings settings;
    settings.key = seat_key(data_center, number);
    settings.holder = holder;
    settings.ttl = ttl;
    return settings;
}

} // namespace

store_follower::store_follower(const daemon_settings::store_section& settings,
                               const daemon_settings::daemon_section& identity, const std::string& holder,
                               store_follower_peers peers, configuration_keeper& keeper, const steady_clock& clock,
                               event_log& log)
    : m_settings(settings), m_peers(std::move(peers)), m_keeper(keeper), m_clock(clock), m_log(log),
      m_store(settings.address, m_calls), m_months(m_store, identity.mesh, settings.call_timeout),
      m_recorder(m_months, max_pending_records), m_read_backoff(first_read_delay, longest_read_delay) {
    for (int number = 1; number <= seats_per_data_center; ++number) {
        m_seats.emplace_back(make_seat_settings(identity.data_center, holder, number, settings.lease), clock.now());
        m_announced.push_back(false);
    }
    m_next_read = clock.now() + absl::Uniform(m_random, 0.0, 1.0) * first_read_spread;
    m_thread = std::thread([this] { run(); });
}

store_follower::~store_follower() {
    {
        const absl::MutexLock lock(&m_mutex);
        m_is_stopped = true;
    }
    m_store.close();
    m_thread.join();
}

store_status store_follower::status() const {
    const absl::MutexLock lock(&m_mutex);
    return {m_unreachable_since, m_calls.total(), m_is_watching};
}

bool store_follower::is_stopped() const {
    const absl::MutexLock lock(&m_mutex);
    return m_is_stopped;
}

void store_follower::run() {
    while (!is_stopped()) {
        update_seats();
        if (is_holder()) {
            write_records();
            follow_head();
        } else {
            m_revision = 0;
            read_alone();
            wait(loop_interval);
        }
    }
}

void store_follower::update_seats() {
    for (int number = 1; number <= seats_per_data_center; ++number) {
        update_seat(number);
    }
    const bool is_watching = is_holder();
    const absl::MutexLock lock(&m_mutex);
    m_is_watching = is_watching;
}

void store_follower::update_seat(int seat_number) {
    const auto index = static_cast<std::size_t>(seat_number - 1);
    seat& one = m_seats[index];
    // One seat is enough for a daemon; the other one is for another host.
    if (m_peers.is_seat_taken(seat_number) || (is_holder() && !one.is_held(m_clock.now()))) {
        one.holder_seen();
    } else {
        one.holder_silent(m_peers.candidates(), m_clock.now(), m_random);
    }
    const std::uint64_t calls_before = m_calls.total();
    const std::uint64_t failures_before = failed_calls();
    make_seat_call(
        one, m_store, [this] { return m_clock.now(); }, m_settings.call_timeout, m_random);
    if (m_calls.total() != calls_before) {
        note(failed_calls() == failures_before ? store_outcome::ok : store_outcome::unavailable);
    }
    const bool is_held = one.is_held(m_clock.now());
    if (is_held != m_announced[index]) {
        m_announced[index] = is_held;
        m_peers.announce_seat(seat_number, is_held);
        m_log.info(fmt::format("placement seat={} held={}", one.settings().key, is_held));
    }
}

bool store_follower::is_holder() const {
    return std::ranges::any_of(m_seats, [this](const seat& one) { return one.is_held(m_clock.now()); });
}

void store_follower::follow_head() {
    absl::Time renewal = absl::InfiniteFuture();
    for (const seat& one : m_seats) {
        renewal = std::min(renewal, one.next_time());
    }
    const absl::Duration limit = std::clamp(renewal - m_clock.now(), shortest_watch, m_settings.watch);
    const auto found = m_store.watch(config_head_key, m_revision, limit);
    note(found.outcome);
    if (found.is_ok()) {
        take_head(*found.value);
    } else if (found.outcome != store_outcome::unchanged) {
        wait(loop_interval);
    }
}

void store_follower::write_records() {
    for (auto& record : m_peers.new_records()) {
        m_log.info(fmt::format("month-record id={} month={}", record.id, record.month));
        m_recorder.add(std::move(record));
    }
    m_recorder.run(m_clock.now(), m_random);
}

void store_follower::read_alone() {
    if (m_keeper.current() || m_peers.has_peers() || m_clock.now() < m_next_read) {
        return;
    }
    const auto found = m_store.get(config_head_key, m_settings.call_timeout);
    note(found.outcome);
    if (found.is_ok()) {
        take_head(*found.value);
    }
    m_next_read = m_clock.now() + m_read_backoff.next_delay(m_random);
}

void store_follower::take_head(const versioned_value& value) {
    try {
        const config_head head = config_head::parse(value.value);
        const auto held = m_keeper.current();
        if (!held || head.version > held->version()) {
            head_reader<http_store> reader(m_store);
            const auto bytes = reader.read_pieces(head, absl::Now() + read_limit);
            // Without bytes a newer head has replaced this one; the next watch reports it.
            if (bytes && m_keeper.offer_whole(*bytes, head.hash) != pull_outcome::applied) {
                m_log.error(fmt::format("configuration-refused version={} source=store", head.version));
            }
        }
        m_revision = value.key_revision;
    } catch (const error& problem) {
        m_log.warning(fmt::format("store-read-failed reason=\"{}\"", problem.what()));
        wait(loop_interval);
    }
}

std::uint64_t store_follower::failed_calls() const {
    std::uint64_t failed = 0;
    for (const auto kind : {store_call_kind::acquire_lease, store_call_kind::renew_lease}) {
        failed += m_calls.count(kind, store_outcome::unavailable) + m_calls.count(kind, store_outcome::unknown);
    }
    return failed;
}

void store_follower::note(store_outcome outcome) {
    const bool is_answered = outcome != store_outcome::unavailable && outcome != store_outcome::unknown;
    const absl::MutexLock lock(&m_mutex);
    if (is_answered && m_unreachable_since) {
        m_log.info(fmt::format("store-reachable after_ms={}",
                               absl::ToInt64Milliseconds(m_clock.now() - *m_unreachable_since)));
        m_unreachable_since.reset();
    } else if (!is_answered && !m_unreachable_since && !m_is_stopped) {
        m_unreachable_since = m_clock.now();
        m_log.warning("store-unreachable");
    }
}

void store_follower::wait(absl::Duration delay) {
    const absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(&m_is_stopped), delay);
}

} // namespace amaranthladder
