#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace amaranthladder {

/// How the daemon stands with the store.
struct store_status {
    std::optional<absl::Time> unreachable_since; ///< Empty while the last call was answered.
    std::uint64_t calls = 0;
    bool is_watching = false; ///< This daemon watches the operators' intent.
};

/// The daemon's connection with the store, which runs on threads of its own.
class store_client {
public:
    store_client() = default;
    virtual ~store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    virtual store_status status() const = 0;
};

} // namespace amaranthladder
