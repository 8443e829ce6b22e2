#pragma once

#include "common/endpoint.h"
#include "store/key_value_store.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Addresses of some daemons of a data centre, stored for daemons that join. Meant to be written by the holders of
/// watcher leases, and to be read only by a daemon without peers, for instance after all seeds in its settings were
/// replaced. The daemon does not use it yet.
struct bootstrap_list {
    std::vector<endpoint> endpoints;

    /// Maximum number of entries: enough that some survive the loss of a rack, and few enough to read cheaply.
    static constexpr std::size_t max_endpoints = 16;

    /// @return the list as JSON.
    std::string to_text() const;

    /// @param text the value stored under bootstrap_list_key().
    /// @return the list, truncated to max_endpoints entries.
    /// @throws error with result_code::store_bad_answer.
    static bootstrap_list parse(const std::string& text);

    /// @param living addresses of the living daemons of the data centre.
    /// @return true if the list must be rewritten: fewer than three quarters of its entries, or of the entries that
    /// @p living could fill, are living daemons. Smaller changes are ignored, since each write is a store call.
    bool is_outdated(const std::vector<endpoint>& living) const;

    /// @param living addresses of the living daemons of the data centre, including this one.
    /// @return a list of randomly chosen addresses.
    static bootstrap_list choose(std::vector<endpoint> living, absl::BitGenRef random);
};

/// @return the store key of the list of @p data_center.
std::string bootstrap_list_key(const std::string& data_center);

/// @return the endpoints in the stored list @p text; empty if it cannot be parsed.
std::vector<endpoint> bootstrap_list_endpoints(const std::string& text);

/// Updates the list of a data centre if it is outdated, with one read and at most one write. Does not retry after a
/// failure or a conflicting write by another holder.
/// @param store the platform's store.
/// @param living addresses of the living daemons of the data centre, including this one.
/// @param deadline maximum duration of one store call.
/// @return true if the list is up to date.
template <key_value_store Store>
bool update_bootstrap_list(Store& store, const std::string& data_center, const std::vector<endpoint>& living,
                           absl::Duration deadline, absl::BitGenRef random) {
    const std::string key = bootstrap_list_key(data_center);
    const auto found = store.get(key, deadline);
    if (!found.is_ok() && found.outcome != store_outcome::absent) {
        return false;
    }
    if (found.is_ok() && !bootstrap_list{bootstrap_list_endpoints(found.value->value)}.is_outdated(living)) {
        return true;
    }
    const revision known = found.is_ok() ? found.value->key_revision : 0;
    return store.compare_and_swap(key, known, bootstrap_list::choose(living, random).to_text(), deadline).is_ok();
}

/// Reads the list of a data centre.
/// @return its endpoints; empty if the list does not exist or cannot be parsed, or the store is unavailable.
template <key_value_store Store>
std::vector<endpoint> read_bootstrap_list(Store& store, const std::string& data_center, absl::Duration deadline) {
    const auto found = store.get(bootstrap_list_key(data_center), deadline);
    return found.is_ok() ? bootstrap_list_endpoints(found.value->value) : std::vector<endpoint>{};
}

} // namespace amaranthladder
