#include "daemon/store_follower.h"

#include "common/error.h"
#include "store/config_head.h"
#include "store/head_reader.h"

#include <absl/random/distributions.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace amaranthladder {

namespace {

/// Enough for an outage of one day: outcomes of moves and a sample every ten minutes.
constexpr std::size_t max_pending_records = 1024;
constexpr absl::Duration loop_interval = absl::Milliseconds(100);
/// A watch ends when the lease is due for renewal, which is long before the lease expires. The lower limit prevents a
/// series of short watches, each one a store call, while a renewal is postponed.
constexpr absl::Duration min_watch_time = absl::Milliseconds(200);
/// Timeout for reading all pieces of one version.
constexpr absl::Duration version_read_timeout = absl::Seconds(5);
/// The first read is delayed at random by up to this time. Of daemons that start together, most then get the
/// configuration from a peer.
constexpr absl::Duration first_read_jitter = absl::Seconds(1);
constexpr absl::Duration initial_read_delay = absl::Milliseconds(500);
constexpr absl::Duration max_read_delay = absl::Seconds(15);

watcher_lease_settings make_watcher_lease_settings(const std::string& data_center, const std::string& holder,
                                                   int number, absl::Duration ttl) {
    watcher_lease_settings settings;
    settings.key = watcher_lease_key(data_center, number);
    settings.holder = holder;
    settings.ttl = ttl;
    return settings;
}

} // namespace

store_follower::store_follower(const daemon_settings::store_section& settings,
                               const daemon_settings::daemon_section& identity, const std::string& holder,
                               store_follower_callbacks callbacks, active_configuration& configuration,
                               const steady_clock& clock, event_log& log)
    : m_settings(settings), m_callbacks(std::move(callbacks)), m_configuration(configuration), m_clock(clock),
      m_log(log), m_store(settings.address, m_call_counter),
      m_month_table(m_store, identity.mesh, settings.call_timeout),
      m_report_recorder(m_month_table, max_pending_records), m_read_backoff(initial_read_delay, max_read_delay) {
    for (int number = 1; number <= watcher_leases_per_data_center; ++number) {
        m_watcher_leases.emplace_back(make_watcher_lease_settings(identity.data_center, holder, number, settings.lease),
                                      clock.now());
        m_announced_leases.push_back(false);
    }
    m_next_read = clock.now() + absl::Uniform(m_random, 0.0, 1.0) * first_read_jitter;
    m_thread = std::thread([this] { run(); });
}

store_follower::~store_follower() {
    m_stop.stop();
    m_store.close();
    m_thread.join();
}

store_status store_follower::status() const {
    const absl::MutexLock lock(&m_mutex);
    return {m_unreachable_since, m_call_counter.total(), m_is_watching};
}

bool store_follower::is_stopped() const {
    return m_stop.is_stopped();
}

void store_follower::run() {
    while (!is_stopped()) {
        update_watcher_leases();
        if (is_lease_holder()) {
            write_month_records();
            watch_head();
        } else {
            m_head_revision = 0;
            read_without_peers();
            wait(loop_interval);
        }
    }
}

void store_follower::update_watcher_leases() {
    for (int number = 1; number <= watcher_leases_per_data_center; ++number) {
        update_watcher_lease(number);
    }
    const bool is_watching = is_lease_holder();
    const absl::MutexLock lock(&m_mutex);
    m_is_watching = is_watching;
}

void store_follower::update_watcher_lease(int lease_number) {
    const auto index = static_cast<std::size_t>(lease_number - 1);
    watcher_lease& lease = m_watcher_leases[index];
    // A daemon holds only one watcher lease, so that another host can hold the other one.
    if (m_callbacks.is_watcher_lease_taken(lease_number) || (is_lease_holder() && !lease.is_held(m_clock.now()))) {
        lease.on_holder_seen();
    } else {
        lease.on_holder_silent(m_callbacks.candidate_count(), m_clock.now(), m_random);
    }
    const std::uint64_t calls_before = m_call_counter.total();
    const std::uint64_t failures_before = failed_lease_calls();
    make_lease_call(
        lease, m_store, [this] { return m_clock.now(); }, m_settings.call_timeout, m_random);
    if (m_call_counter.total() != calls_before) {
        update_reachability(failed_lease_calls() == failures_before ? store_outcome::ok : store_outcome::unavailable);
    }
    const bool is_held = lease.is_held(m_clock.now());
    if (is_held != m_announced_leases[index]) {
        m_announced_leases[index] = is_held;
        m_callbacks.announce_watcher_lease(lease_number, is_held);
        m_log.info(fmt::format("placement seat={} held={}", lease.settings().key, is_held));
    }
}

bool store_follower::is_lease_holder() const {
    return std::ranges::any_of(m_watcher_leases,
                               [this](const watcher_lease& lease) { return lease.is_held(m_clock.now()); });
}

void store_follower::watch_head() {
    absl::Time next_renewal = absl::InfiniteFuture();
    for (const watcher_lease& lease : m_watcher_leases) {
        next_renewal = std::min(next_renewal, lease.next_time());
    }
    const absl::Duration limit = std::clamp(next_renewal - m_clock.now(), min_watch_time, m_settings.watch);
    const auto found = m_store.watch(config_head_key, m_head_revision, limit);
    update_reachability(found.outcome);
    if (found.is_ok()) {
        apply_head(*found.value);
    } else if (found.outcome != store_outcome::unchanged) {
        wait(loop_interval);
    }
}

void store_follower::write_month_records() {
    for (auto& record : m_callbacks.new_month_records()) {
        m_log.info(fmt::format("month-record id={} month={}", record.id, record.month));
        m_report_recorder.add(std::move(record));
    }
    m_report_recorder.run(m_clock.now(), m_random);
}

void store_follower::read_without_peers() {
    if (m_configuration.current() || m_callbacks.has_peers() || m_clock.now() < m_next_read) {
        return;
    }
    const auto found = m_store.get(config_head_key, m_settings.call_timeout);
    update_reachability(found.outcome);
    if (found.is_ok()) {
        apply_head(*found.value);
    }
    m_next_read = m_clock.now() + m_read_backoff.next_delay(m_random);
}

void store_follower::apply_head(const versioned_value& stored_head) {
    try {
        const config_head head = config_head::parse(stored_head.value);
        const auto held = m_configuration.current();
        if (!held || head.version > held->version()) {
            head_reader<http_store> reader(m_store);
            const auto bytes = reader.read_pieces(head, std::chrono::steady_clock::now() +
                                                            absl::ToChronoNanoseconds(version_read_timeout));
            // No bytes: a newer head has replaced this one, and the next watch will return it.
            if (bytes && m_configuration.apply_encoded(*bytes, head.hash) != pull_outcome::applied) {
                m_log.error(fmt::format("configuration-refused version={} source=store", head.version));
            }
        }
        m_head_revision = stored_head.key_revision;
    } catch (const error& problem) {
        m_log.warning(fmt::format("store-read-failed reason=\"{}\"", problem.what()));
        wait(loop_interval);
    }
}

std::uint64_t store_follower::failed_lease_calls() const {
    std::uint64_t failed = 0;
    for (const auto kind : {store_call_kind::acquire_lease, store_call_kind::renew_lease}) {
        failed +=
            m_call_counter.count(kind, store_outcome::unavailable) + m_call_counter.count(kind, store_outcome::unknown);
    }
    return failed;
}

void store_follower::update_reachability(store_outcome outcome) {
    const bool is_answered = outcome != store_outcome::unavailable && outcome != store_outcome::unknown;
    const absl::MutexLock lock(&m_mutex);
    if (is_answered && m_unreachable_since) {
        m_log.info(fmt::format("store-reachable after_ms={}",
                               absl::ToInt64Milliseconds(m_clock.now() - *m_unreachable_since)));
        m_unreachable_since.reset();
    } else if (!is_answered && !m_unreachable_since && !m_stop.is_stopped()) {
        m_unreachable_since = m_clock.now();
        m_log.warning("store-unreachable");
    }
}

void store_follower::wait(absl::Duration delay) {
    m_stop.wait(delay);
}

} // namespace amaranthladder
