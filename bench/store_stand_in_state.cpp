#include "store_stand_in_state.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace amaranthladder {

store_stand_in_state::store_stand_in_state(clock now) : m_now(std::move(now)) {}

store_result<versioned_value> store_stand_in_state::get(const std::string& key, absl::Duration deadline) {
    const fault_action action = begin_call(&store_call_counts::get, false, deadline);
    if (action != fault_action::proceed) {
        return {store_outcome::unavailable, {}};
    }
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_contents.values.find(key);
    if (found == m_contents.values.end()) {
        return {store_outcome::absent, {}};
    }
    return {store_outcome::ok, found->second};
}

store_result<revision> store_stand_in_state::compare_and_swap(const std::string& key, revision expected,
                                                              const std::string& value, absl::Duration deadline) {
    const fault_action action = begin_call(&store_call_counts::put, true, deadline);
    if (action == fault_action::refuse || action == fault_action::lose_request || value.size() > max_value_bytes) {
        return finish_call<revision>(action, {});
    }
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_contents.values.find(key);
    const revision present = found == m_contents.values.end() ? 0 : found->second.key_revision;
    if (present != expected) {
        return finish_call<revision>(action, {store_outcome::conflict, {}});
    }
    m_contents.values[key] = {value, ++m_contents.last_revision};
    return finish_call<revision>(action, {store_outcome::ok, m_contents.last_revision});
}

store_result<lease> store_stand_in_state::acquire_lease(const std::string& key, const std::string& holder,
                                                        absl::Duration ttl, absl::Duration deadline) {
    const fault_action action = begin_call(&store_call_counts::acquire, true, deadline);
    if (action == fault_action::refuse || action == fault_action::lose_request) {
        return finish_call<lease>(action, {});
    }
    const absl::MutexLock lock(&m_mutex);
    lease_entry& entry = m_contents.leases[key];
    if (entry.id != 0 && entry.holder != holder && m_now() < entry.expiry) {
        return finish_call<lease>(action, {store_outcome::conflict, {}});
    }
    entry = {holder, ++m_contents.last_revision, lease_expiry(ttl)};
    return finish_call<lease>(action, {store_outcome::ok, lease{key, holder, entry.id, ttl}});
}

store_result<lease> store_stand_in_state::renew_lease(const lease& held, absl::Duration deadline) {
    const fault_action action = begin_call(&store_call_counts::renew, true, deadline);
    if (action == fault_action::refuse || action == fault_action::lose_request) {
        return finish_call<lease>(action, {});
    }
    const absl::MutexLock lock(&m_mutex);
    lease_entry* const entry = find_lease(held);
    if (entry == nullptr) {
        return finish_call<lease>(action, {store_outcome::absent, {}});
    }
    entry->expiry = lease_expiry(held.ttl);
    return finish_call<lease>(action, {store_outcome::ok, held});
}

store_result<revision> store_stand_in_state::release_lease(const lease& held, absl::Duration deadline) {
    const fault_action action = begin_call(&store_call_counts::release, true, deadline);
    if (action == fault_action::refuse || action == fault_action::lose_request) {
        return finish_call<revision>(action, {});
    }
    const absl::MutexLock lock(&m_mutex);
    if (find_lease(held) == nullptr) {
        return finish_call<revision>(action, {store_outcome::absent, {}});
    }
    m_contents.leases.erase(held.key);
    return finish_call<revision>(action, {store_outcome::ok, ++m_contents.last_revision});
}

store_result<versioned_value> store_stand_in_state::watch(const std::string& key, revision after,
                                                          absl::Duration deadline) {
    const absl::Time end = absl::Now() + deadline;
    const fault_action action = begin_call(&store_call_counts::watch, false, deadline);
    if (action != fault_action::proceed) {
        return {store_outcome::unavailable, {}};
    }
    const absl::Duration response_delay = faults().watch_response_delay;
    absl::ReleasableMutexLock lock(&m_mutex);
    // An outage also ends watches that are already waiting.
    const auto is_over = [this, &key, after]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        const auto found = m_contents.values.find(key);
        return m_is_closed || m_faults.is_down ||
               (found != m_contents.values.end() && found->second.key_revision > after);
    };
    if (!m_mutex.AwaitWithDeadline(absl::Condition(&is_over), end)) {
        lock.Release();
        absl::SleepFor(response_delay);
        return {store_outcome::unchanged, {}};
    }
    if (m_is_closed || m_faults.is_down) {
        return {store_outcome::unavailable, {}};
    }
    return {store_outcome::ok, m_contents.values.at(key)};
}

void store_stand_in_state::set_faults(const store_faults& faults) {
    const absl::MutexLock lock(&m_mutex);
    m_faults = faults;
}

store_faults store_stand_in_state::faults() const {
    const absl::MutexLock lock(&m_mutex);
    return m_faults;
}

store_call_counts store_stand_in_state::counts() const {
    const absl::MutexLock lock(&m_mutex);
    return m_counts;
}

void store_stand_in_state::reset_counts() {
    const absl::MutexLock lock(&m_mutex);
    m_counts = {};
}

void store_stand_in_state::make_copy() {
    const absl::MutexLock lock(&m_mutex);
    m_copy = m_contents;
}

void store_stand_in_state::restore_copy() {
    const absl::MutexLock lock(&m_mutex);
    m_contents = m_copy;
    ++m_era;
}

std::uint64_t store_stand_in_state::era() const {
    const absl::MutexLock lock(&m_mutex);
    return m_era;
}

void store_stand_in_state::close() {
    const absl::MutexLock lock(&m_mutex);
    m_is_closed = true;
}

store_stand_in_state::fault_action store_stand_in_state::begin_call(std::uint64_t store_call_counts::*kind,
                                                                    bool is_write, absl::Duration deadline) {
    absl::Duration delay;
    fault_action action = fault_action::proceed;
    {
        const absl::MutexLock lock(&m_mutex);
        ++(m_counts.*kind);
        delay = m_faults.delay;
        if (m_faults.is_down) {
            action = fault_action::refuse;
        } else if (is_write && m_faults.lose_requests > 0) {
            --m_faults.lose_requests;
            action = fault_action::lose_request;
        } else if (is_write && m_faults.lose_answers > 0) {
            --m_faults.lose_answers;
            action = fault_action::lose_answer;
        }
    }
    if (delay > absl::ZeroDuration()) {
        absl::SleepFor(std::min(delay, deadline));
        if (delay > deadline && action == fault_action::proceed) {
            action = is_write ? fault_action::lose_answer : fault_action::refuse;
        }
    }
    return action;
}

template <typename Value>
store_result<Value> store_stand_in_state::finish_call(fault_action action, store_result<Value> result) const {
    if (action == fault_action::lose_request || action == fault_action::lose_answer) {
        return {store_outcome::unknown, {}};
    }
    return result;
}

absl::Time store_stand_in_state::lease_expiry(absl::Duration ttl) const {
    return m_now() + ttl * m_faults.lease_lifetime_percent / 100;
}

store_stand_in_state::lease_entry* store_stand_in_state::find_lease(const lease& held) {
    const auto found = m_contents.leases.find(held.key);
    if (found == m_contents.leases.end() || found->second.id != held.id || m_now() >= found->second.expiry) {
        return nullptr;
    }
    return &found->second;
}

} // namespace amaranthladder
