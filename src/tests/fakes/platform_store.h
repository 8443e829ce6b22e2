#pragma once

#include "common/endpoint.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace amaranthladder {

/// HTTP server with the interface of the platform's store, which can come back from an older copy. Watches return soon,
/// also without a change.
class platform_store {
public:
    platform_store();
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    endpoint address() const;

    /// Writes a key as the operator or another daemon would.
    /// @return its revision.
    std::uint64_t put(const std::string& key, const std::string& value);

    /// Removes a key as the operator would.
    void remove(const std::string& key);

    /// Makes a lease as another daemon would.
    std::uint64_t grant_lease();

    /// Keeps a copy of all keys, leases and counters.
    void make_copy();

    /// Comes back from the copy, in the next era.
    void restore_copy();

    bool has(const std::string& key) const;

    /// @return the value of a key; empty if there is none.
    std::string value_of(const std::string& key) const;

    /// @return number of writes of a key by calls.
    int writes_of(const std::string& key) const;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct contents {
        std::map<std::string, item> items;
        std::map<std::string, std::uint64_t> removals; ///< Revisions by key.
        std::uint64_t revision = 10;
        std::uint64_t next_lease = 1;
    };

    using handler = std::string (platform_store::*)(const httplib::Request&, httplib::Response&);
    httplib::Server::Handler answer(handler called);
    std::string get_key(const httplib::Request& request, httplib::Response& response)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::string get_range(const httplib::Request& request, httplib::Response& response)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::string watch(const httplib::Request& request, httplib::Response& response)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::string commit(const httplib::Request& request, httplib::Response& response)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::string make_lease(const httplib::Request& request, httplib::Response& response)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::string keep_lease(const httplib::Request& request, httplib::Response& response)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void write(const std::string& key, const std::string& value, std::uint64_t lease)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    contents m_contents ABSL_GUARDED_BY(m_mutex);
    contents m_copy ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_era ABSL_GUARDED_BY(m_mutex) = 1;
    std::map<std::string, int> m_writes ABSL_GUARDED_BY(m_mutex);
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace amaranthladder
