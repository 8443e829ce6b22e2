#pragma once

#include "common/backoff.h"
#include "store/prefix_store.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <utility>

namespace amaranthladder {

/// Timing of leased_key.
struct leased_key_policy {
    absl::Duration call_timeout = absl::Seconds(1);
    absl::Duration ttl = absl::Seconds(30);
    double renewal_fraction = 0.3; ///< Fraction of the time to live after which the lease is renewed.
    absl::Duration first_delay = absl::Milliseconds(200);
    /// Low enough that a key whose lease expired during an outage is back within about two seconds of its end.
    absl::Duration max_delay = absl::Milliseconds(1200);
};

/// Keeps a key in the store, bound to a lease, as long as this process lives. Makes one store call per step.
///
/// When the store has come back from an older copy, it may have lost the lease and have given its number to another
/// process, so the key is written again with a new lease.
template <prefix_store Store> class leased_key {
public:
    /// @param store must outlive this object.
    leased_key(Store& store, std::string key, std::string value, leased_key_policy policy = {})
        : m_store(store), m_key(std::move(key)), m_value(std::move(value)), m_policy(policy),
          m_backoff(policy.first_delay, policy.max_delay) {}

    /// Makes the next call: requests a lease, writes the key or renews the lease.
    /// @return the time to wait before the next step.
    absl::Duration step(absl::BitGenRef random) {
        const store_outcome outcome = next_call();
        if (is_lease_of_earlier_era()) {
            forget_lease();
            m_backoff.reset();
            return absl::ZeroDuration();
        }
        if (outcome == store_outcome::ok) {
            m_backoff.reset();
            return m_is_written ? m_policy.ttl * m_policy.renewal_fraction : absl::ZeroDuration();
        }
        if (outcome == store_outcome::absent) {
            // The lease has expired, and the store removed the key with it.
            forget_lease();
        }
        return m_backoff.next_delay(random);
    }

    /// Changes the value, which the next step writes.
    void set_value(std::string value) {
        if (value != m_value) {
            m_value = std::move(value);
            m_is_written = false;
        }
    }

    /// @return true if, as far as this process knows, the store holds the key with the current value.
    bool is_written() const {
        return m_is_written && !is_lease_of_earlier_era();
    }

private:
    bool is_lease_of_earlier_era() const {
        return m_lease_id != 0 && m_store.era() != m_lease_era;
    }

    void forget_lease() {
        m_lease_id = 0;
        m_is_written = false;
    }

    store_outcome next_call() {
        if (is_lease_of_earlier_era()) {
            forget_lease();
        }
        if (m_lease_id == 0) {
            const store_result<std::uint64_t> granted = m_store.grant_lease(m_policy.ttl, m_policy.call_timeout);
            m_lease_id = granted.value.value_or(0);
            m_lease_era = m_store.era();
            return granted.outcome;
        }
        if (!m_is_written) {
            const store_outcome written =
                m_store.commit({{}, {{m_key, m_value, m_lease_id}}}, m_policy.call_timeout).outcome;
            m_is_written = written == store_outcome::ok;
            return written;
        }
        return m_store.keep_lease(m_lease_id, m_policy.call_timeout).outcome;
    }

    Store& m_store;
    std::string m_key;
    std::string m_value;
    leased_key_policy m_policy;
    backoff m_backoff;
    std::uint64_t m_lease_id = 0;
    std::uint64_t m_lease_era = 0;
    bool m_is_written = false;
};

} // namespace amaranthladder
