#pragma once

#include "store/key_value_store.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace amaranthladder {

/// Kinds of store calls.
enum class store_call_kind { get, compare_and_swap, watch, acquire_lease, renew_lease, release_lease };

inline constexpr std::size_t store_call_kind_count = 6;
inline constexpr std::size_t store_outcome_count = 6;

/// @return the name of @p kind in metrics.
std::string_view name(store_call_kind kind);

/// @return the name of @p outcome in metrics.
std::string_view name(store_outcome outcome);

/// Counts store calls by kind and outcome. Thread-safe.
class call_counter {
public:
    /// Counts one finished call.
    void add(store_call_kind kind, store_outcome outcome);

    /// @return the number of calls of @p kind that ended with @p outcome.
    std::uint64_t count(store_call_kind kind, store_outcome outcome) const;

    /// @return the number of all calls.
    std::uint64_t total() const;

private:
    std::array<std::array<std::atomic<std::uint64_t>, store_outcome_count>, store_call_kind_count> m_counts{};
};

} // namespace amaranthladder
