#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/event_log.h"
#include "common/steady_clock.h"
#include "common/stop_signal.h"
#include "daemon/evacuation_record.h"
#include "daemon/intent_format.h"
#include "daemon/store_client.h"
#include "store/call_counter.h"
#include "store/leased_key.h"
#include "store/prefix_follower.h"

#include <absl/base/thread_annotations.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace amaranthladder {

/// Functions of the daemon that an intent_store_client calls, from its own threads.
struct intent_store_callbacks {
    endpoint self; ///< Peer address of this daemon.
    /// Applies a configuration if it is newer than the active one.
    std::function<void(const std::shared_ptr<const snapshot>&)> apply;
    /// Merges an order that was read from the store, or whose report was written.
    std::function<void(const move_order&)> accept_order;
    /// Applies the state of the order to evacuate a data centre that was read from the store.
    std::function<void(const std::string& data_center, const evacuation_record&)> accept_evacuation;
    /// Ends the orders to evacuate other data centres than those that a list of the store's keys contains.
    std::function<void(const std::set<std::string>& data_centers, revision as_of)> accept_evacuation_list;
    /// @return orders whose report this daemon must write to the store now.
    std::function<std::vector<move_order>()> due_reports;
    /// Called when the store holds the report on an order in the state that the order has.
    std::function<void(const move_order&)> on_report_written;
    /// Called when the store has come back from an older copy, without what was written since.
    std::function<void()> on_store_restored;
    /// Adds addresses of daemons through which the mesh can be joined.
    std::function<void(const std::vector<endpoint>&)> add_contacts;
    /// @return true if this daemon knows an alive peer.
    std::function<bool()> has_peers;
    /// @return true if this daemon may delay its watch after a change, because others see the next change immediately
    ///         and distribute it.
    std::function<bool()> may_delay_watch;
    /// @return true if this daemon must follow the store itself; false if it can rely on its peers.
    std::function<bool()> must_follow_store;
    /// Called when this daemon starts or stops following the store.
    std::function<void(bool follows)> set_follows_store;
    /// Tells the other daemons that the store is in this era.
    std::function<void(std::uint64_t era)> announce_era;
    /// @return the newest era of the store that other daemons have told; 0: none.
    std::function<std::uint64_t()> heard_era;
    /// @return what the next run of the daemon must know of the upstream beside it; empty if there is nothing to save.
    std::function<std::string()> saved_upstream;
    /// Called at most once, after the start, with what the previous run saved.
    std::function<void(const std::string& upstream)> restore_upstream;
};

/// Client of a platform's store: follows the operators' intent, writes reports on orders, and keeps a registration
/// under a lease by which other daemons find this one. Uses two threads, since store calls block.
template <prefix_store Store> class intent_store_client : public store_client {
public:
    /// @param store the store; the destructor closes it.
    /// @param counter counter that @p store increments.
    /// @param watch_delay time for which most daemons wait after a change before they watch again, so that changes in
    ///        quick succession cost one call. A daemon that reaches the store but no peer sees a change up to this much
    ///        later.
    intent_store_client(std::unique_ptr<Store> store, const call_counter& counter, intent_format format,
                        intent_store_callbacks callbacks, absl::Duration watch_delay, const steady_clock& clock,
                        event_log& log)
        : m_watch_delay(watch_delay), m_store(std::move(store)), m_counter(counter), m_format(std::move(format)),
          m_callbacks(std::move(callbacks)), m_clock(clock), m_log(log),
          m_follower(*m_store, m_format.prefix, make_listener()),
          m_registration(*m_store, daemon_key(m_callbacks.self), registration_value("")),
          m_follow_thread([this] { follow(); }), m_maintenance_thread([this] { run_maintenance(); }) {}

    ~intent_store_client() override {
        m_stop.stop();
        m_store->close();
        m_follow_thread.join();
        m_maintenance_thread.join();
    }

    intent_store_client(const intent_store_client&) = delete;
    intent_store_client& operator=(const intent_store_client&) = delete;

    store_status status() const override {
        const absl::MutexLock lock(&m_mutex);
        return {m_unreachable_since, m_counter.total(), !m_unreachable_since};
    }

private:
    static constexpr std::string_view daemon_key_prefix = "mesh/daemons/";
    static constexpr std::string_view order_record_prefix = "mesh/orders/";
    static constexpr absl::Duration call_timeout = absl::Seconds(1);
    /// Interval at which due reports are checked, and thus the maximum delay of a report.
    static constexpr absl::Duration poll_interval = absl::Milliseconds(100);
    /// Delay before a changed registration is written, which combines changes in quick succession.
    static constexpr absl::Duration registration_delay = absl::Milliseconds(300);
    /// Maximum wait of the first registration for the upstream's announcement, which it includes. Upstreams announce
    /// themselves every one or two seconds.
    static constexpr absl::Duration first_registration_limit = absl::Seconds(2);
    /// Time from the first list of the keys to the first watch. The daemon learns the size of the fleet meanwhile.
    static constexpr absl::Duration first_watch_delay = absl::Milliseconds(1500);
    /// Intervals at which registrations of other daemons are read: the shorter one while this daemon knows no peer.
    static constexpr absl::Duration isolated_contact_read_interval = absl::Milliseconds(700);
    static constexpr absl::Duration contact_read_interval = absl::Seconds(20);
    /// A list whose later pages fail does not keep the daemon from serving for longer.
    static constexpr absl::Duration max_configuration_hold = absl::Seconds(2);
    /// Bounds the calls and log lines of a task that fails again and again.
    static constexpr absl::Duration failure_retry_interval = absl::Seconds(1);

    prefix_listener make_listener() {
        prefix_listener listener;
        listener.on_item = [this](const stored_item& item, bool is_change) { handle_item(item, is_change); };
        listener.on_removed = [this](const std::string& key, revision removed_in) { handle_removal(key, removed_in); };
        listener.on_listed = [this](const std::set<std::string>& keys, revision as_of) { handle_list(keys, as_of); };
        listener.watch_delay = [this] { return m_callbacks.may_delay_watch() ? m_watch_delay : absl::ZeroDuration(); };
        listener.on_reachable = [this](bool is_reachable, store_outcome outcome) {
            set_reachable(is_reachable, outcome);
        };
        return listener;
    }

    void set_reachable(bool is_reachable, store_outcome outcome) {
        const absl::MutexLock lock(&m_mutex);
        if (m_stop.is_stopped()) {
            return;
        }
        if (is_reachable) {
            const absl::Duration outage =
                m_unreachable_since ? m_clock.now() - *m_unreachable_since : absl::ZeroDuration();
            m_unreachable_since.reset();
            m_log.info(fmt::format("store-reachable after_ms={}", absl::ToInt64Milliseconds(outage)));
        } else {
            m_unreachable_since = m_clock.now();
            m_log.warning(fmt::format("store-unreachable outcome={}", name(outcome)));
        }
    }

    void follow() {
        absl::BitGen random;
        bool has_listed = false;
        while (!is_stopped()) {
            wait(run_guarded("store-follower", [&] { return follow_once(random, has_listed); }));
        }
    }

    /// @return the time to wait before the next call.
    absl::Duration follow_once(absl::BitGen& random, bool& has_listed) {
        if (has_listed && !m_callbacks.must_follow_store()) {
            m_follower.relist();
            set_follows(false);
            return poll_interval;
        }
        const absl::Duration delay = m_follower.step(random);
        if (m_held_configuration != nullptr && m_clock.now() - m_held_since >= max_configuration_hold) {
            end_first_list();
        }
        m_followed_era = era_of(m_follower.as_of());
        const bool is_first_list = !has_listed && m_follower.is_reachable();
        has_listed = has_listed || is_first_list;
        set_follows(m_follower.is_reachable() && !is_first_list);
        return is_first_list ? first_watch_delay : delay;
    }

    /// Runs @p task; an exception that nothing else handles is logged and does not end the thread.
    /// @return the result of @p task; the retry interval after an exception.
    template <typename Task> absl::Duration run_guarded(std::string_view part, Task&& task) {
        try {
            return task();
        } catch (const std::exception& problem) {
            m_log.error(fmt::format("task-failed part={} reason=\"{}\"", part, problem.what()));
            return failure_retry_interval;
        }
    }

    /// Called on the follow thread only.
    void set_follows(bool follows) {
        if (follows != m_follows_store) {
            m_follows_store = follows;
            m_callbacks.set_follows_store(follows);
        }
    }

    void handle_item(const stored_item& item, bool is_change) {
        try {
            const intent_item decoded = m_format.decode(item);
            if (const auto* configuration = std::get_if<std::shared_ptr<const snapshot>>(&decoded)) {
                apply_configuration(*configuration);
            } else if (const auto* order = std::get_if<order_request>(&decoded)) {
                accept_order(item, *order, is_change);
            } else if (const auto* evacuation = std::get_if<evacuation_request>(&decoded)) {
                m_callbacks.accept_evacuation(evacuation->data_center, {evacuation->introduced_in, true});
            }
        } catch (const error& problem) {
            m_log.warning(fmt::format("intent-refused key={} revision={} code={} reason=\"{}\"", item.key,
                                      revision_text(item.key_revision), name(problem.code()), problem.what()));
        }
    }

    /// Applies a configuration. That of the first list waits for the rest of the list, which may forbid requests.
    void apply_configuration(const std::shared_ptr<const snapshot>& read) {
        if (!m_is_first_list_read) {
            m_held_since = m_held_configuration == nullptr ? m_clock.now() : m_held_since;
            m_held_configuration = read;
            return;
        }
        m_callbacks.apply(read);
    }

    /// Accepts an order. One of the first list waits for the configuration, since its state is read with further calls.
    void accept_order(const stored_item& item, const order_request& order, bool is_change) {
        if (!m_is_first_list_read) {
            m_held_orders.insert_or_assign(item.key, item);
            return;
        }
        m_callbacks.accept_order(is_change ? make_order(order) : restore_order(order));
    }

    /// Applies what was held until the end of the first list.
    void end_first_list() {
        m_is_first_list_read = true;
        if (const auto held = std::exchange(m_held_configuration, nullptr)) {
            m_callbacks.apply(held);
        }
        for (const auto& [key, item] : std::exchange(m_held_orders, {})) {
            handle_item(item, false);
        }
    }

    void handle_removal(const std::string& key, revision removed_in) {
        m_log.info(fmt::format("intent-removed key={} revision={}", key, revision_text(removed_in)));
        if (const std::optional<std::string> data_center = m_format.evacuated_data_center(key)) {
            m_callbacks.accept_evacuation(*data_center, {removed_in, false});
        }
    }

    void handle_list(const std::set<std::string>& keys, revision as_of) {
        std::set<std::string> data_centers;
        for (const std::string& key : keys) {
            if (const std::optional<std::string> data_center = m_format.evacuated_data_center(key)) {
                data_centers.insert(*data_center);
            }
        }
        m_callbacks.accept_evacuation_list(data_centers, as_of);
        if (!m_is_first_list_read) {
            std::erase_if(m_held_orders, [&](const auto& held) { return !keys.contains(held.first); });
            end_first_list();
        }
    }

    move_order make_order(const order_request& request) const {
        return {request.service, request.to_version, request.introduced_in, m_clock.now() + request.time_limit,
                order_report::none};
    }

    /// Restores the state of an order that was given before this daemon started to watch.
    move_order restore_order(const order_request& request) {
        move_order order = make_order(request);
        const auto record = m_store->get(order_record_key(request.service), call_timeout);
        if (record.is_ok()) {
            order = merge_order_record(order, *record.value);
        }
        const auto report = m_store->get(m_format.report_key(request.service), call_timeout);
        if (report.is_ok() && report.value->key_revision > order.introduced_in) {
            order.reported = std::max(order.reported, m_format.decode_report(*report.value, order.to_version));
        }
        return order;
    }

    /// @return @p order with the state in its record; unchanged if that is of another order or cannot be read.
    move_order merge_order_record(const move_order& order, const stored_item& record) {
        try {
            const move_order known = move_order::decode(record.value);
            return is_same_order(known, order) ? merge(order, known) : order;
        } catch (const error& problem) {
            m_log.warning(fmt::format("order-record-refused key={} code={} reason=\"{}\"", record.key,
                                      name(problem.code()), problem.what()));
            return order;
        }
    }

    void run_maintenance() {
        absl::BitGen random;
        const absl::Time started_at = m_clock.now();
        maintenance_times times{started_at, started_at, started_at};
        while (!is_stopped()) {
            wait(run_guarded("store-maintenance", [&] { return maintain_once(random, times); }));
        }
        // The registration is left for the next run of this daemon; without one, it expires with its lease.
    }

    struct maintenance_times {
        absl::Time started_at;
        absl::Time next_registration;
        absl::Time next_contact_read;
    };

    /// @return the time to wait before the next turn.
    absl::Duration maintain_once(absl::BitGen& random, maintenance_times& times) {
        check_era();
        const std::string upstream = m_callbacks.saved_upstream();
        const bool is_registration_due =
            !upstream.empty() || m_clock.now() - times.started_at >= first_registration_limit;
        m_registration.set_value(registration_value(upstream));
        if (!m_registration.is_written()) {
            times.next_registration = std::min(times.next_registration, m_clock.now() + registration_delay);
        }
        // The registration of the previous run must be read before it is overwritten.
        if (m_has_read_registration && is_registration_due && m_clock.now() >= times.next_registration) {
            times.next_registration = m_clock.now() + m_registration.step(random);
        }
        if (m_clock.now() >= times.next_contact_read) {
            read_contacts();
            times.next_contact_read =
                m_clock.now() + (m_callbacks.has_peers() ? contact_read_interval : isolated_contact_read_interval);
        }
        for (const move_order& order : m_callbacks.due_reports()) {
            write_report(order);
        }
        return poll_interval;
    }

    /// Called on the maintenance thread only.
    void check_era() {
        m_store->raise_era(m_callbacks.heard_era());
        const std::uint64_t era = m_store->era();
        if (era == m_era) {
            return;
        }
        m_log.info(fmt::format("store-era era={} previous={} followed={}", era, m_era, m_followed_era.load()));
        const bool is_restored = m_era != 0;
        m_era = era;
        m_callbacks.announce_era(era);
        if (is_restored) {
            m_callbacks.on_store_restored();
        }
        if (m_followed_era != 0 && m_followed_era < era) {
            // A watch that began in an earlier era may miss changes until it ends.
            m_store->abort_calls();
        }
    }

    /// The first line is the address through which other daemons join, the rest is the saved upstream.
    std::string registration_value(const std::string& upstream) const {
        return to_string(m_callbacks.self) + "\n" + upstream;
    }

    /// Restores the upstream that the previous run of this daemon saved in its registration.
    void restore_upstream(const std::string& registration) {
        if (m_has_read_registration) {
            return;
        }
        const std::size_t line_end = registration.find('\n');
        if (line_end != std::string::npos && line_end + 1 < registration.size()) {
            m_callbacks.restore_upstream(registration.substr(line_end + 1));
        }
    }

    void read_contacts() {
        const auto page = m_store->list_cached(std::string(daemon_key_prefix), "", call_timeout);
        if (!page.is_ok()) {
            return; // Retried after the read interval; set_reachable logs outages.
        }
        std::vector<endpoint> contacts;
        for (const stored_item& item : page.value->items) {
            if (item.key == daemon_key(m_callbacks.self)) {
                restore_upstream(item.value);
                continue;
            }
            try {
                contacts.push_back(parse_endpoint(item.value.substr(0, item.value.find('\n'))));
            } catch (const error& problem) {
                m_log.warning(fmt::format("contact-refused key={} reason=\"{}\"", item.key, problem.what()));
            }
        }
        m_has_read_registration = true;
        m_callbacks.add_contacts(contacts);
    }

    static std::string daemon_key(const endpoint& address) {
        return std::string(daemon_key_prefix) + to_string(address);
    }

    void write_report(move_order order) {
        const std::string key = m_format.report_key(order.service);
        const auto stored = m_store->get(key, call_timeout);
        if (!stored.is_ok() && stored.outcome != store_outcome::absent) {
            return; // Retried: due_reports returns the order again.
        }
        const revision held = stored.is_ok() ? stored.value->key_revision : 0;
        if (held > order.introduced_in) {
            const order_report written = m_format.decode_report(*stored.value, order.to_version);
            if (written >= order.reported) {
                order.reported = written;
                m_callbacks.accept_order(order);
                m_callbacks.on_report_written(order);
                return;
            }
        }
        const store_transaction transaction{
            {{key, held}}, {{key, m_format.encode_report(order)}, {order_record_key(order.service), order.encode()}}};
        const auto written = m_store->commit(transaction, call_timeout);
        m_log.info(fmt::format("order-report service={} to={} state={} outcome={}", order.service, order.to_version,
                               name(order.reported), name(written.outcome)));
        if (written.is_ok()) {
            m_callbacks.accept_order(order);
            m_callbacks.on_report_written(order);
        }
    }

    static std::string order_record_key(const std::string& service) {
        return std::string(order_record_prefix) + service;
    }

    bool is_stopped() const {
        return m_stop.is_stopped();
    }

    void wait(absl::Duration delay) {
        m_stop.wait(delay);
    }

    absl::Duration m_watch_delay;
    std::unique_ptr<Store> m_store;
    const call_counter& m_counter;
    intent_format m_format;
    intent_store_callbacks m_callbacks;
    const steady_clock& m_clock;
    event_log& m_log;
    mutable absl::Mutex m_mutex;
    stop_signal m_stop;
    std::optional<absl::Time> m_unreachable_since ABSL_GUARDED_BY(m_mutex);
    prefix_follower<Store> m_follower;
    bool m_follows_store = false;
    bool m_is_first_list_read = false;                    ///< Used on the follow thread only, like those below.
    std::shared_ptr<const snapshot> m_held_configuration; ///< Of a first list that is not complete.
    std::map<std::string, stored_item> m_held_orders;     ///< The same; by key.
    absl::Time m_held_since;
    bool m_has_read_registration = false; ///< The registration of the previous run has been looked up.
    leased_key<Store> m_registration;
    std::atomic<std::uint64_t> m_followed_era = 0; ///< Era up to which the follow thread has read the store.
    std::uint64_t m_era = 0;                       ///< The newest one that the maintenance thread has seen.
    std::thread m_follow_thread;
    std::thread m_maintenance_thread;
};

} // namespace amaranthladder
