#include "store/call_counter.h"

namespace amaranthladder {

namespace {

constexpr std::array<std::string_view, store_call_kind_count> kind_names{
    "get", "compare-and-swap", "watch", "acquire-lease", "renew-lease", "release-lease"};
constexpr std::array<std::string_view, store_outcome_count> outcome_names{"ok",        "conflict",    "absent",
                                                                          "unchanged", "unavailable", "unknown"};

} // namespace

std::string_view name(store_call_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string_view name(store_outcome outcome) {
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

void call_counter::add(store_call_kind kind, store_outcome outcome) {
    m_counts.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(outcome)).fetch_add(1);
}

std::uint64_t call_counter::count(store_call_kind kind, store_outcome outcome) const {
    return m_counts.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(outcome)).load();
}

std::uint64_t call_counter::total() const {
    std::uint64_t sum = 0;
    for (const auto& by_outcome : m_counts) {
        for (const auto& count : by_outcome) {
            sum += count.load();
        }
    }
    return sum;
}

} // namespace amaranthladder
