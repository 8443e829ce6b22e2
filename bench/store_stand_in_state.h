#pragma once

#include "store/key_value_store.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace amaranthladder {

/// Faults that the stand-in injects.
struct store_faults {
    absl::Duration delay{};                   ///< Delay of each call before it takes effect.
    bool is_down = false;                     ///< Refuses each call before it takes effect (HTTP: 503).
    absl::Duration watch_response_delay = {}; ///< Time from the end of a watch without a change to its response.
    bool closes_connections = false;          ///< While down, closes the connection instead of responding with 503.
    int lose_answers = 0;  ///< This many of the next writes take effect, but their responses are lost.
    int lose_requests = 0; ///< This many of the next writes are lost before they take effect, and get no response.
    int lease_lifetime_percent = 100; ///< Leases end after this percentage of their lifetime.
};

/// The number of calls received, by kind. A watch counts as one call, however long it waits.
struct store_call_counts {
    std::uint64_t get = 0;
    std::uint64_t put = 0;
    std::uint64_t watch = 0;
    std::uint64_t acquire = 0;
    std::uint64_t renew = 0;
    std::uint64_t release = 0;
};

/// Holds the values, leases, injected faults and call counts of the stand-in. Thread-safe; satisfies the concept
/// `key_value_store`.
class store_stand_in_state {
public:
    using clock = std::function<absl::Time()>;

    static constexpr std::size_t max_value_bytes = 1'000'000;

    /// @param now the clock that determines when leases expire.
    explicit store_stand_in_state(clock now = absl::Now);

    store_result<versioned_value> get(const std::string& key, absl::Duration deadline);
    store_result<revision> compare_and_swap(const std::string& key, revision expected, const std::string& value,
                                            absl::Duration deadline);
    store_result<lease> acquire_lease(const std::string& key, const std::string& holder, absl::Duration ttl,
                                      absl::Duration deadline);
    store_result<lease> renew_lease(const lease& held, absl::Duration deadline);
    store_result<revision> release_lease(const lease& held, absl::Duration deadline);
    store_result<versioned_value> watch(const std::string& key, revision after, absl::Duration deadline);

    /// Replaces the injected faults.
    void set_faults(const store_faults& faults);

    store_faults faults() const;

    store_call_counts counts() const;

    /// Sets all counts to 0.
    void reset_counts();

    /// Keeps a copy of the values, leases and revisions.
    void make_copy();

    /// Comes back from the copy, in the next era: revisions and leases are given out again from there.
    void restore_copy();

    /// @return the number of the present era, which answers name.
    std::uint64_t era() const;

    /// Ends all waiting and future watches immediately, so that a server can stop.
    void close();

private:
    struct lease_entry {
        std::string holder;
        std::uint64_t id = 0;
        absl::Time expiry;
    };

    enum class fault_action { proceed, refuse, lose_request, lose_answer };

    /// Counts the call, decides which fault affects it, and waits for the injected delay.
    fault_action begin_call(std::uint64_t store_call_counts::*kind, bool is_write, absl::Duration deadline);
    /// @return @p result, or the outcome "unknown" if the request or its response is lost.
    template <typename Value> store_result<Value> finish_call(fault_action action, store_result<Value> result) const;
    absl::Time lease_expiry(absl::Duration ttl) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    lease_entry* find_lease(const lease& held) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    struct contents {
        std::map<std::string, versioned_value> values;
        std::map<std::string, lease_entry> leases;
        std::uint64_t last_revision = 0;
    };

    const clock m_now;
    mutable absl::Mutex m_mutex;
    contents m_contents ABSL_GUARDED_BY(m_mutex);
    contents m_copy ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_era ABSL_GUARDED_BY(m_mutex) = 1;
    store_faults m_faults ABSL_GUARDED_BY(m_mutex);
    store_call_counts m_counts ABSL_GUARDED_BY(m_mutex);
    bool m_is_closed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace amaranthladder
