#pragma once

#include "store/key_value_store.h"

#include <functional>
#include <map>
#include <string>

namespace amaranthladder::fakes {

/// An in-memory store whose writes can fail in the same ways as those of the platform's store.
class report_store_fake {
public:
    /// Called before each write to determine its outcome. `unknown` applies the write but loses the response; any other
    /// outcome except ok fails without writing.
    std::function<store_outcome()> on_write = [] { return store_outcome::ok; };
    bool is_down = false;
    std::map<std::string, versioned_value> values;

    store_result<versioned_value> get(const std::string& key, absl::Duration /*limit*/) {
        if (is_down) {
            return {store_outcome::unavailable, {}};
        }
        const auto found = values.find(key);
        return found == values.end() ? store_result<versioned_value>{store_outcome::absent, {}}
                                     : store_result<versioned_value>{store_outcome::ok, found->second};
    }

    store_result<revision> compare_and_swap(const std::string& key, revision expected_revision, const std::string& text,
                                            absl::Duration /*limit*/) {
        const store_outcome outcome = is_down ? store_outcome::unavailable : on_write();
        if (outcome != store_outcome::ok && outcome != store_outcome::unknown) {
            return {outcome, {}};
        }
        versioned_value& stored = values[key];
        if (stored.key_revision != expected_revision) {
            return {store_outcome::conflict, {}};
        }
        stored = {text, expected_revision + 1};
        return outcome == store_outcome::ok ? store_result<revision>{outcome, stored.key_revision}
                                            : store_result<revision>{outcome, {}};
    }

    store_result<lease> acquire_lease(const std::string&, const std::string&, absl::Duration, absl::Duration) {
        return {};
    }
    store_result<lease> renew_lease(const lease&, absl::Duration) {
        return {};
    }
    store_result<revision> release_lease(const lease&, absl::Duration) {
        return {};
    }
    store_result<versioned_value> watch(const std::string&, revision, absl::Duration) {
        return {};
    }
};

} // namespace amaranthladder::fakes
