#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace amaranthladder {

/// State of the connection to the store.
struct store_status {
    std::optional<absl::Time> unreachable_since; ///< Start of the current outage; empty if the last call was answered.
    std::uint64_t calls = 0;                     ///< Since the start of the daemon.
    bool is_watching = false;                    ///< This daemon watches the store for changes.
};

/// Base of the daemon's store clients, each of which runs on its own threads.
class store_client {
public:
    store_client() = default;
    virtual ~store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    virtual store_status status() const = 0;
};

} // namespace amaranthladder
