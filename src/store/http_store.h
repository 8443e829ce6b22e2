#pragma once

#include "common/endpoint.h"
#include "store/key_value_store.h"
#include "store/store_era.h"

#include <absl/time/time.h>

#include <memory>
#include <string>

namespace amaranthladder {

class call_counter;
class store_connection_pool;

/// Client of the platform's key-value store over HTTP, see docs/store.md. Satisfies `key_value_store`.
///
/// Its revisions contain the store's era, see revision; a watch from an earlier era returns the value at once, and a
/// write that expects a revision of an earlier era is a conflict.
///
/// Thread-safe: concurrent calls use separate connections, and idle connections are kept for later calls.
class http_store {
public:
    /// @param address address of the store.
    /// @param counter counts each call; must outlive the store.
    http_store(endpoint address, call_counter& counter);
    ~http_store();
    http_store(const http_store&) = delete;
    http_store& operator=(const http_store&) = delete;

    store_result<versioned_value> get(const std::string& key, absl::Duration deadline);
    store_result<revision> compare_and_swap(const std::string& key, revision expected, const std::string& value,
                                            absl::Duration deadline);
    store_result<lease> acquire_lease(const std::string& key, const std::string& holder, absl::Duration ttl,
                                      absl::Duration deadline);
    store_result<lease> renew_lease(const lease& held, absl::Duration deadline);
    store_result<revision> release_lease(const lease& held, absl::Duration deadline);
    store_result<versioned_value> watch(const std::string& key, revision after, absl::Duration deadline);

    /// Aborts the calls in progress and makes all later calls fail as unavailable, so that a program can stop.
    void close();

private:
    std::unique_ptr<store_connection_pool> m_connections;
    call_counter& m_counter;
    store_era m_era;
};

} // namespace amaranthladder
