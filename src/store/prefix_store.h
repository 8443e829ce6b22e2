#pragma once

#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthladder {

/// A key of a store with its value and revision.
struct stored_item {
    std::string key;
    std::string value;
    revision key_revision = 0;

    friend bool operator==(const stored_item&, const stored_item&) = default;
};

/// One page of the keys with a common prefix.
struct stored_page {
    std::vector<stored_item> items;
    bool is_last = true;
    revision as_of = 0; ///< The store's revision when the page was read.
};

/// A change of a key.
struct stored_change {
    stored_item item; ///< Without a value if the key was removed.
    bool is_removed = false;
};

/// Changes of the keys with a common prefix.
struct stored_changes {
    std::vector<stored_change> changes; ///< In chronological order; empty if the wait ended without a change.
    revision as_of = 0;                 ///< Revision from which the next watch continues.
    bool is_history_lost = false;       ///< The store no longer has the changes; the keys must be listed again.
};

/// Writes that are applied atomically if all conditions hold.
struct store_transaction {
    struct condition {
        std::string key;
        revision expected = 0; ///< 0: the key must be absent.
    };
    struct write {
        std::string key;
        std::string value;
        std::uint64_t lease_id = 0; ///< 0: the key stays until it is removed.
    };
    std::vector<condition> conditions;
    std::vector<write> writes;
};

/// A store whose keys are listed and watched by prefix and can be bound to leases. Each call ends within its deadline
/// and reports failures of the store as an outcome, not as an exception. `era` is the newest era that an answer has
/// named: a number that rises when the store comes back from an older copy of its contents, after which revisions and
/// leases are given out again. `raise_era` tells the store of a newer one that another process has heard of;
/// `abort_calls` ends the calls in progress.
template <typename Store>
concept prefix_store = requires(Store store, const std::string& key, revision known, std::uint64_t lease_id,
                                const store_transaction& transaction, absl::Duration limit) {
    { store.get(key, limit) } -> std::same_as<store_result<stored_item>>;
    { store.list(key, key, limit) } -> std::same_as<store_result<stored_page>>;
    { store.list_cached(key, key, limit) } -> std::same_as<store_result<stored_page>>;
    { store.watch(key, known, limit) } -> std::same_as<store_result<stored_changes>>;
    { store.commit(transaction, limit) } -> std::same_as<store_result<revision>>;
    { store.grant_lease(limit, limit) } -> std::same_as<store_result<std::uint64_t>>;
    { store.keep_lease(lease_id, limit) } -> std::same_as<store_result<revision>>;
    { store.era() } -> std::same_as<std::uint64_t>;
    store.raise_era(lease_id);
    store.abort_calls();
};

} // namespace amaranthladder
