#pragma once

#include "common/backoff.h"
#include "store/prefix_store.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace amaranthladder {

/// Timing of prefix_follower.
struct prefix_follower_policy {
    absl::Duration call_timeout = absl::Seconds(1);
    /// Long, because each watch is a store call; TCP keep-alive probes detect a dead connection meanwhile.
    absl::Duration watch_wait = absl::Seconds(15);
    absl::Duration first_delay = absl::Milliseconds(100);
    /// Low enough that changes take effect within about two seconds of the end of an outage.
    absl::Duration max_delay = absl::Milliseconds(800);
};

/// Callbacks of a prefix_follower.
struct prefix_listener {
    /// Reports the current state of a key. @p is_change: the key was written while the follower was watching.
    std::function<void(const stored_item& item, bool is_change)> on_item;
    /// Reports the removal of a key. @p removed_in: revision of the removal; if the key is missing from a list, that of
    /// the list.
    std::function<void(const std::string& key, revision removed_in)> on_removed;
    /// Reports that the store became reachable or unreachable, with the outcome of the call that showed it.
    std::function<void(bool is_reachable, store_outcome outcome)> on_reachable;
    /// Optional. Returns the delay between a watch that returned changes and the next one, so that changes in quick
    /// succession cost a single call.
    std::function<absl::Duration()> watch_delay = {};
    /// Optional. Reports all keys of a complete list, after their items and removals. Keys that this follower never
    /// reported, such as those that were removed while another process watched, are found by their absence.
    std::function<void(const std::set<std::string>& keys, revision as_of)> on_listed = {};
};

/// Follows the keys with a common prefix: lists them, then watches them, and lists them again when the store has lost
/// the history of changes.
///
/// Each step lists or watches once, so that a test can run it against a scripted store.
template <prefix_store Store> class prefix_follower {
public:
    /// @param store must outlive the follower.
    /// @param prefix common prefix of the followed keys.
    /// @param listener called from step().
    prefix_follower(Store& store, std::string prefix, prefix_listener listener, prefix_follower_policy policy = {})
        : m_store(store), m_prefix(std::move(prefix)), m_listener(std::move(listener)), m_policy(policy),
          m_backoff(policy.first_delay, policy.max_delay) {}

    /// Makes the next call.
    /// @return the time to wait before the next step.
    absl::Duration step(absl::BitGenRef random) {
        const store_outcome outcome = m_is_listed ? watch() : list();
        const bool is_answered = outcome == store_outcome::ok;
        if (is_answered != m_is_reachable || m_is_first) {
            m_is_first = false;
            m_is_reachable = is_answered;
            m_listener.on_reachable(is_answered, outcome);
        }
        if (is_answered) {
            m_backoff.reset();
            return std::exchange(m_has_changes, false) && m_listener.watch_delay ? m_listener.watch_delay()
                                                                                 : absl::ZeroDuration();
        }
        // A watch sent during an outage could wait long beyond its end, so the next call is a list with a short
        // timeout.
        m_is_listed = false;
        return m_backoff.next_delay(random);
    }

    /// Makes the next step list the keys again. To be called after a time without steps, in which the store may have
    /// dropped its history.
    void relist() {
        m_is_listed = false;
    }

    /// @return the revision up to which changes have been reported; 0 before the first list.
    revision as_of() const {
        return m_as_of;
    }

    /// @return true if the last call succeeded.
    bool is_reachable() const {
        return m_is_reachable;
    }

private:
    store_outcome list() {
        std::set<std::string> found;
        std::string after;
        revision as_of = 0;
        while (true) {
            store_result<stored_page> page = m_store.list(m_prefix, after, m_policy.call_timeout);
            if (!page.is_ok()) {
                return page.outcome;
            }
            // Keys may change while the pages are read, so the watch starts at the revision of the first page.
            as_of = as_of == 0 ? page.value->as_of : as_of;
            for (const stored_item& item : page.value->items) {
                found.insert(item.key);
                after = item.key;
                m_listener.on_item(item, false);
            }
            if (page.value->is_last || page.value->items.empty()) {
                break;
            }
        }
        for (const std::string& key : m_keys) {
            if (!found.contains(key)) {
                m_listener.on_removed(key, as_of);
            }
        }
        m_keys = std::move(found);
        m_as_of = as_of;
        m_is_listed = true;
        if (m_listener.on_listed) {
            m_listener.on_listed(m_keys, as_of);
        }
        return store_outcome::ok;
    }

    store_outcome watch() {
        store_result<stored_changes> changed = m_store.watch(m_prefix, m_as_of, m_policy.watch_wait);
        if (!changed.is_ok()) {
            return changed.outcome;
        }
        if (changed.value->is_history_lost) {
            m_is_listed = false;
            return store_outcome::ok;
        }
        m_has_changes = !changed.value->changes.empty();
        for (const stored_change& change : changed.value->changes) {
            if (change.is_removed) {
                m_keys.erase(change.item.key);
                m_listener.on_removed(change.item.key, change.item.key_revision);
            } else {
                m_keys.insert(change.item.key);
                m_listener.on_item(change.item, true);
            }
        }
        m_as_of = std::max(m_as_of, changed.value->as_of);
        return store_outcome::ok;
    }

    Store& m_store;
    std::string m_prefix;
    prefix_listener m_listener;
    prefix_follower_policy m_policy;
    backoff m_backoff;
    std::set<std::string> m_keys;
    revision m_as_of = 0;
    bool m_is_listed = false;
    bool m_has_changes = false; ///< The last watch returned changes.
    bool m_is_reachable = false;
    bool m_is_first = true;
};

} // namespace amaranthladder
