#pragma once

#include "common/revision.h"

#include <absl/time/time.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace amaranthladder {

/// Outcome of a store call.
enum class store_outcome {
    ok,
    conflict,    ///< The key does not have the expected revision; nothing was done.
    absent,      ///< The key or lease does not exist; nothing was done.
    unchanged,   ///< A watch ended at its deadline without a change.
    unavailable, ///< Nothing was done.
    unknown,     ///< No response; a write may have been done.
};

/// A value with its revision.
struct versioned_value {
    std::string value;
    revision key_revision = 0;
};

/// A lease on a key. It expires `ttl` after the last successful renewal, even if its holder has not noticed.
struct lease {
    std::string key;
    std::string holder;
    std::uint64_t id = 0;
    absl::Duration ttl;
};

/// The result of a store call: an outcome, and a value if the outcome is ok.
template <typename Value> struct store_result {
    store_outcome outcome = store_outcome::unavailable;
    std::optional<Value> value;

    bool is_ok() const {
        return outcome == store_outcome::ok;
    }
};

/// The platform's key-value store. Each call ends within its deadline and reports failures of the store as an outcome,
/// not as an exception.
///
/// `compare_and_swap` with expected revision 0 creates a key that must be absent. `watch` returns when the key has a
/// revision above `after`, or `unchanged` at its deadline. Values are limited to 1 MB.
template <typename Store>
concept key_value_store = requires(Store store, const std::string& key, const std::string& text, revision known,
                                   const lease& held, absl::Duration limit) {
    { store.get(key, limit) } -> std::same_as<store_result<versioned_value>>;
    { store.compare_and_swap(key, known, text, limit) } -> std::same_as<store_result<revision>>;
    { store.acquire_lease(key, text, limit, limit) } -> std::same_as<store_result<lease>>;
    { store.renew_lease(held, limit) } -> std::same_as<store_result<lease>>;
    { store.release_lease(held, limit) } -> std::same_as<store_result<revision>>;
    { store.watch(key, known, limit) } -> std::same_as<store_result<versioned_value>>;
};

} // namespace amaranthladder
