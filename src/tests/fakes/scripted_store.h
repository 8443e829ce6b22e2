#pragma once

#include "store/prefix_store.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace amaranthladder {

/// In-memory store whose next calls can be made to fail. Satisfies `prefix_store`.
class scripted_store {
public:
    /// Outcomes of the next calls. A call is executed if its outcome is `ok` or the script has ended.
    std::deque<store_outcome> script;
    std::vector<std::string> calls; ///< Names of the calls made so far.
    std::size_t page_size = 2;
    bool loses_history = false; ///< The next watch reports that the history is lost.

    /// Writes a key as another client would.
    void put(const std::string& key, const std::string& value, std::uint64_t lease_id = 0) {
        m_items[key] = {{key, value, ++m_revision}, lease_id};
        m_history.push_back({m_items[key].item, false});
    }

    void remove(const std::string& key) {
        m_items.erase(key);
        m_history.push_back({{key, "", ++m_revision}, true});
    }

    /// Ends a lease and removes its keys.
    void expire(std::uint64_t lease_id) {
        m_leases.erase(lease_id);
        std::vector<std::string> keys;
        for (const auto& [key, held] : m_items) {
            if (held.lease_id == lease_id) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            remove(key);
        }
    }

    bool has(const std::string& key) const {
        return m_items.contains(key);
    }

    std::uint64_t last_lease() const {
        return m_next_lease - 1;
    }

    store_result<stored_item> get(const std::string& key, absl::Duration /*limit*/) {
        if (const store_outcome outcome = next("get"); outcome != store_outcome::ok) {
            return {outcome, {}};
        }
        const auto found = m_items.find(key);
        return found == m_items.end() ? store_result<stored_item>{store_outcome::absent, {}}
                                      : store_result<stored_item>{store_outcome::ok, found->second.item};
    }

    store_result<stored_page> list(const std::string& prefix, const std::string& after, absl::Duration /*limit*/) {
        if (const store_outcome outcome = next("list"); outcome != store_outcome::ok) {
            return {outcome, {}};
        }
        stored_page page;
        page.as_of = m_revision;
        for (auto item = m_items.upper_bound(after); item != m_items.end(); ++item) {
            if (!item->first.starts_with(prefix)) {
                continue;
            }
            if (page.items.size() == page_size) {
                page.is_last = false;
                break;
            }
            page.items.push_back(item->second.item);
        }
        return {store_outcome::ok, page};
    }

    store_result<stored_page> list_cached(const std::string& prefix, const std::string& after, absl::Duration limit) {
        return list(prefix, after, limit);
    }

    store_result<stored_changes> watch(const std::string& prefix, revision after, absl::Duration /*wait*/) {
        if (const store_outcome outcome = next("watch"); outcome != store_outcome::ok) {
            return {outcome, {}};
        }
        stored_changes changes;
        if (loses_history) {
            loses_history = false;
            changes.is_history_lost = true;
            return {store_outcome::ok, changes};
        }
        changes.as_of = m_revision;
        for (const stored_change& change : m_history) {
            if (change.item.key_revision > after && change.item.key.starts_with(prefix)) {
                changes.changes.push_back(change);
            }
        }
        return {store_outcome::ok, changes};
    }

    store_result<revision> commit(const store_transaction& transaction, absl::Duration /*limit*/) {
        if (const store_outcome outcome = next("commit"); outcome != store_outcome::ok) {
            return {outcome, {}};
        }
        for (const auto& condition : transaction.conditions) {
            const auto found = m_items.find(condition.key);
            if ((found == m_items.end() ? 0 : found->second.item.key_revision) != condition.expected) {
                return {store_outcome::conflict, {}};
            }
        }
        for (const auto& write : transaction.writes) {
            if (write.lease_id != 0 && !m_leases.contains(write.lease_id)) {
                return {store_outcome::absent, {}};
            }
            put(write.key, write.value, write.lease_id);
        }
        return {store_outcome::ok, m_revision};
    }

    store_result<std::uint64_t> grant_lease(absl::Duration /*ttl*/, absl::Duration /*limit*/) {
        if (const store_outcome outcome = next("grant"); outcome != store_outcome::ok) {
            return {outcome, {}};
        }
        m_leases[m_next_lease] = true;
        return {store_outcome::ok, m_next_lease++};
    }

    store_result<revision> keep_lease(std::uint64_t lease_id, absl::Duration /*limit*/) {
        if (const store_outcome outcome = next("keep"); outcome != store_outcome::ok) {
            return {outcome, {}};
        }
        return {m_leases.contains(lease_id) ? store_outcome::ok : store_outcome::absent, revision{0}};
    }

    std::uint64_t era() const {
        return m_era;
    }

    void raise_era(std::uint64_t era) {
        m_era = std::max(m_era, era);
    }

    void abort_calls() {}

private:
    struct held_item {
        stored_item item;
        std::uint64_t lease_id = 0;
    };

    store_outcome next(const char* call) {
        calls.emplace_back(call);
        if (script.empty()) {
            return store_outcome::ok;
        }
        const store_outcome outcome = script.front();
        script.pop_front();
        return outcome;
    }

    std::map<std::string, held_item> m_items;
    std::vector<stored_change> m_history;
    std::map<std::uint64_t, bool> m_leases;
    revision m_revision = 10;
    std::uint64_t m_next_lease = 1;
    std::uint64_t m_era = 0;
};

static_assert(prefix_store<scripted_store>);

} // namespace amaranthladder
