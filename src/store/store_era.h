#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace amaranthladder {

/// The newest era that a store's answers have named. A store raises its era by one each time it comes back from an
/// older copy of its contents; revisions and leases are then given out again. Thread-safe.
class store_era {
public:
    /// @return the newest era; 0 if none is known.
    std::uint64_t value() const {
        return m_value;
    }

    /// Records the era that an answer names.
    /// @param text value of its header; empty if it has none.
    /// @return the era of the answer; value() if it names none that can be read.
    std::uint64_t observe(const std::string& text);

    /// Raises value(). An era that a revision cannot hold is ignored.
    void raise(std::uint64_t era);

private:
    std::atomic<std::uint64_t> m_value = 0;
};

} // namespace amaranthladder
