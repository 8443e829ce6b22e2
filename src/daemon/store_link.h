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
class store_link {
public:
    store_link() = default;
    virtual ~store_link() = default;
    store_link(const store_link&) = delete;
    store_link& operator=(const store_link&) = delete;

    virtual store_status status() const = 0;
};

} // namespace amaranthladder
