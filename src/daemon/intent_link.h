#pragma once

#include "common/endpoint.h"
#include "common/error.h"
#include "common/event_log.h"
#include "common/steady_clock.h"
#include "daemon/intent_format.h"
#include "daemon/store_link.h"
#include "store/call_counter.h"
#include "store/leased_entry.h"
#include "store/prefix_follower.h"

#include <absl/base/thread_annotations.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace amaranthladder {

/// What an intent_link asks of the rest of the daemon. Called from the link's threads.
struct intent_link_peers {
    endpoint self; ///< This daemon's address for its peers.
    /// Applies a configuration; not newer ones are ignored.
    std::function<void(const std::shared_ptr<const snapshot>&)> apply;
    std::function<void(const move_order&)> take_order;
    /// @return orders whose report in the store is due from this daemon.
    std::function<std::vector<move_order>()> due_reports;
    /// Names daemons that may be joined through.
    std::function<void(const std::vector<endpoint>&)> add_contacts;
    /// @return true if this daemon knows a living peer.
    std::function<bool()> has_peers;
    /// @return true if this daemon may see a change late, since others see it at once and tell it.
    std::function<bool()> may_rest;
    /// @return true if this daemon is to follow the store's changes itself; false if its peers do that for it.
    std::function<bool()> must_follow;
    /// Told whether this daemon sees the store's changes at once.
    std::function<void(bool follows)> note_follows;
    /// @return what a later run of this daemon is to know of the upstream beside it; empty: nothing.
    std::function<std::string()> upstream_note;
    /// Takes what an earlier run noted, once at the start.
    std::function<void(const std::string& note)> recall_upstream;
};

/// Follows the operators' intent in a store that is watched by prefix, reports the outcome of orders there, and keeps
/// an entry by which other daemons find this one. Two threads, since a store call blocks.
template <prefix_store Store> class intent_link : public store_link {
public:
    /// @param store the store; closed by the destructor.
    /// @param counter counts the store's calls.
    /// @param watch_rest how long most daemons wait after a change before they watch again. A daemon that reaches the
    ///        store and no peer sees a change that much later.
    intent_link(std::unique_ptr<Store> store, const call_counter& counter, intent_format format,
                intent_link_peers peers, absl::Duration watch_rest, const steady_clock& clock, event_log& log)
        : m_watch_rest(watch_rest), m_store(std::move(store)), m_counter(counter), m_format(std::move(format)),
          m_peers(std::move(peers)), m_clock(clock), m_log(log), m_follower(*m_store, m_format.prefix, make_listener()),
          m_entry(*m_store, daemon_key(m_peers.self), entry_value("")), m_follow_thread([this] { follow(); }),
          m_duty_thread([this] { attend(); }) {}

    ~intent_link() override {
        {
            const absl::MutexLock lock(&m_mutex);
            m_is_stopped = true;
        }
        m_store->close();
        m_follow_thread.join();
        m_duty_thread.join();
    }

    intent_link(const intent_link&) = delete;
    intent_link& operator=(const intent_link&) = delete;

    store_status status() const override {
        const absl::MutexLock lock(&m_mutex);
        return {m_unreachable_since, m_counter.total(), !m_unreachable_since};
    }

private:
    static constexpr std::string_view daemon_key_prefix = "mesh/daemons/";
    static constexpr std::string_view order_record_prefix = "mesh/orders/";
    static constexpr absl::Duration call_timeout = absl::Seconds(1);
    /// Reports are looked for this often; a report is late by at most this.
    static constexpr absl::Duration duty_interval = absl::Milliseconds(100);
    /// A changed entry is written after this time, with whatever else has changed by then.
    static constexpr absl::Duration entry_delay = absl::Milliseconds(300);
    /// The first entry waits this long for the upstream's announcement, which belongs into it: upstreams announce
    /// themselves every one or two seconds.
    static constexpr absl::Duration first_entry_limit = absl::Seconds(2);
    /// Time from the first list of the keys to the first watch, in which the daemon learns how large the fleet is.
    static constexpr absl::Duration first_watch_delay = absl::Milliseconds(1500);
    /// Entries of other daemons are read at these intervals: often while this one knows no peer.
    static constexpr absl::Duration alone_read_interval = absl::Milliseconds(700);
    static constexpr absl::Duration read_interval = absl::Seconds(20);

    prefix_listener make_listener() {
        prefix_listener listener;
        listener.on_item = [this](const stored_item& item, bool is_change) { take(item, is_change); };
        listener.on_removed = [this](const std::string& key) { m_log.info(fmt::format("intent-removed key={}", key)); };
        listener.rest = [this] { return m_peers.may_rest() ? m_watch_rest : absl::ZeroDuration(); };
        listener.on_reachable = [this](bool is_reachable, store_outcome outcome) {
            note_reachable(is_reachable, outcome);
        };
        return listener;
    }

    void note_reachable(bool is_reachable, store_outcome outcome) {
        const absl::MutexLock lock(&m_mutex);
        if (m_is_stopped) {
            return;
        }
        if (is_reachable) {
            const absl::Duration away =
                m_unreachable_since ? m_clock.now() - *m_unreachable_since : absl::ZeroDuration();
            m_unreachable_since.reset();
            m_log.info(fmt::format("store-reachable after_ms={}", absl::ToInt64Milliseconds(away)));
        } else {
            m_unreachable_since = m_clock.now();
            m_log.warning(fmt::format("store-unreachable outcome={}", name(outcome)));
        }
    }

    void follow() {
        absl::BitGen random;
        bool has_listed = false;
        while (!is_stopped()) {
            if (has_listed && !m_peers.must_follow()) {
                m_follower.pause();
                set_follows(false);
                wait(duty_interval);
                continue;
            }
            const absl::Duration delay = m_follower.step(random);
            const bool is_first_list = !has_listed && m_follower.is_reachable();
            has_listed = has_listed || is_first_list;
            set_follows(m_follower.is_reachable() && !is_first_list);
            wait(is_first_list ? first_watch_delay : delay);
        }
    }

    /// Called by the follower's thread.
    void set_follows(bool follows) {
        if (follows != m_follows) {
            m_follows = follows;
            m_peers.note_follows(follows);
        }
    }

    void take(const stored_item& item, bool is_change) {
        try {
            const intent_item decoded = m_format.decode(item);
            if (const auto* configuration = std::get_if<std::shared_ptr<const snapshot>>(&decoded)) {
                m_peers.apply(*configuration);
            } else if (const auto* order = std::get_if<order_request>(&decoded)) {
                m_peers.take_order(is_change ? begin(*order) : recall(*order));
            }
        } catch (const error& problem) {
            m_log.warning(fmt::format("intent-refused key={} revision={} code={} reason=\"{}\"", item.key,
                                      item.key_revision, name(problem.code()), problem.what()));
        }
    }

    move_order begin(const order_request& request) const {
        return {request.service, request.to_version, request.introduced_in, m_clock.now() + request.allowed,
                order_report::none};
    }

    /// Finds out how an order stands that was given before this daemon watched.
    move_order recall(const order_request& request) {
        move_order order = begin(request);
        const auto record = m_store->get(record_key(request.service), call_timeout);
        if (record.is_ok()) {
            const move_order known = move_order::decode(record.value->value);
            if (known.introduced_in == order.introduced_in) {
                order = merge(order, known);
            }
        }
        const auto report = m_store->get(m_format.report_key(request.service), call_timeout);
        if (report.is_ok() && report.value->key_revision > order.introduced_in) {
            order.reported = std::max(order.reported, m_format.decode_report(*report.value, order.to_version));
        }
        return order;
    }

    void attend() {
        absl::BitGen random;
        const absl::Time started_at = m_clock.now();
        absl::Time next_entry = started_at;
        absl::Time next_read = next_entry;
        while (!is_stopped()) {
            const std::string note = m_peers.upstream_note();
            const bool is_entry_due = !note.empty() || m_clock.now() - started_at >= first_entry_limit;
            m_entry.set_value(entry_value(note));
            if (!m_entry.is_written()) {
                next_entry = std::min(next_entry, m_clock.now() + entry_delay);
            }
            // The entry of the last run is overwritten only after it has been read.
            if (m_has_recalled && is_entry_due && m_clock.now() >= next_entry) {
                next_entry = m_clock.now() + m_entry.step(random);
            }
            if (m_clock.now() >= next_read) {
                read_contacts();
                next_read = m_clock.now() + (m_peers.has_peers() ? read_interval : alone_read_interval);
            }
            for (const move_order& order : m_peers.due_reports()) {
                report(order);
            }
            wait(duty_interval);
        }
        // The entry stays for the next run of this daemon; it goes with its lease if there is none.
    }

    /// The address that other daemons join through, then what the next run of this daemon is to know.
    std::string entry_value(const std::string& note) const {
        return to_string(m_peers.self) + "\n" + note;
    }

    /// Reads what the last run of this daemon noted of the upstream beside it.
    void recall(const std::string& entry) {
        if (m_has_recalled) {
            return;
        }
        const std::size_t line = entry.find('\n');
        if (line != std::string::npos && line + 1 < entry.size()) {
            m_peers.recall_upstream(entry.substr(line + 1));
        }
    }

    void read_contacts() {
        const auto page = m_store->list_cached(std::string(daemon_key_prefix), "", call_timeout);
        if (!page.is_ok()) {
            return; // Read again at the next interval; note_reachable logs outages.
        }
        std::vector<endpoint> contacts;
        for (const stored_item& item : page.value->items) {
            if (item.key == daemon_key(m_peers.self)) {
                recall(item.value);
                continue;
            }
            try {
                contacts.push_back(parse_endpoint(item.value.substr(0, item.value.find('\n'))));
            } catch (const error& problem) {
                m_log.warning(fmt::format("contact-refused key={} reason=\"{}\"", item.key, problem.what()));
            }
        }
        m_has_recalled = true;
        m_peers.add_contacts(contacts);
    }

    static std::string daemon_key(const endpoint& address) {
        return std::string(daemon_key_prefix) + to_string(address);
    }

    void report(move_order order) {
        const std::string key = m_format.report_key(order.service);
        const auto present = m_store->get(key, call_timeout);
        if (!present.is_ok() && present.outcome != store_outcome::absent) {
            return; // due_reports names the order again.
        }
        const revision held = present.is_ok() ? present.value->key_revision : 0;
        if (held > order.introduced_in) {
            const order_report written = m_format.decode_report(*present.value, order.to_version);
            if (written >= order.reported) {
                order.reported = written;
                m_peers.take_order(order);
                return;
            }
        }
        const store_transaction transaction{
            {{key, held}}, {{key, m_format.encode_report(order)}, {record_key(order.service), order.encode()}}};
        const auto written = m_store->commit(transaction, call_timeout);
        m_log.info(fmt::format("order-report service={} to={} state={} outcome={}", order.service, order.to_version,
                               name(order.reported), name(written.outcome)));
        if (written.is_ok()) {
            m_peers.take_order(order);
        }
    }

    static std::string record_key(const std::string& service) {
        return std::string(order_record_prefix) + service;
    }

    bool is_stopped() const {
        const absl::MutexLock lock(&m_mutex);
        return m_is_stopped;
    }

    void wait(absl::Duration delay) {
        const absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(&m_is_stopped), delay);
    }

    absl::Duration m_watch_rest;
    std::unique_ptr<Store> m_store;
    const call_counter& m_counter;
    intent_format m_format;
    intent_link_peers m_peers;
    const steady_clock& m_clock;
    event_log& m_log;
    mutable absl::Mutex m_mutex;
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<absl::Time> m_unreachable_since ABSL_GUARDED_BY(m_mutex);
    prefix_follower<Store> m_follower;
    bool m_follows = false;
    bool m_has_recalled = false; ///< The entry of the last run was looked for.
    leased_entry<Store> m_entry;
    std::thread m_follow_thread;
    std::thread m_duty_thread;
};

} // namespace amaranthladder
