#pragma once

#include "common/endpoint.h"
#include "store/key_value_store.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthladder {

/// Addresses of some daemons of a data centre, kept in the store. The holders of seats write it; only a daemon without
/// peers reads it, for instance after all seeds of its settings were replaced.
struct bootstrap_list {
    std::vector<endpoint> endpoints;

    /// Entries of a page. Several survive the loss of a rack, and reading stays cheap.
    static constexpr std::size_t max_endpoints = 16;

    /// @return the page as JSON.
    std::string to_text() const;

    /// @param text the value of the page's key.
    /// @return the page, with at most max_endpoints entries.
    /// @throws error with result_code::store_bad_answer.
    static bootstrap_list parse(const std::string& text);

    /// @param living addresses of the living daemons of the data centre.
    /// @return true if the page is to be written again: it is short of entries that @p living could fill, or fewer than
    /// three quarters of its entries live. Small changes are left, since each write is a store call.
    bool is_outdated(const std::vector<endpoint>& living) const;

    /// @param living addresses of the living daemons of the data centre, the own one included.
    /// @return a page with a random choice of them.
    static bootstrap_list choose(std::vector<endpoint> living, absl::BitGenRef random);
};

/// @return the store's key of the page of @p data_center.
std::string bootstrap_list_key(const std::string& data_center);

/// @return the endpoints of a page's text, none if it cannot be read.
std::vector<endpoint> bootstrap_list_endpoints(const std::string& text);

/// Brings a data centre's page up to date, with one read and at most one write. A failure or a write by another holder
/// is left to the next call.
/// @param store the platform's store.
/// @param living addresses of the living daemons of the data centre, the own one included.
/// @param deadline longest time of one store call.
/// @return true if the page is up to date.
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

/// Reads a data centre's page.
/// @return its endpoints; empty if the page does not exist, cannot be read or the store is unavailable.
template <key_value_store Store>
std::vector<endpoint> read_bootstrap_list(Store& store, const std::string& data_center, absl::Duration deadline) {
    const auto found = store.get(bootstrap_list_key(data_center), deadline);
    return found.is_ok() ? bootstrap_list_endpoints(found.value->value) : std::vector<endpoint>{};
}

} // namespace amaranthladder
