#pragma once

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace amaranthladder {

/// Why a local upstream is removed.
enum class upstream_removal {
    withdrawn, ///< It has reported that it ends; it may still serve for a while.
    silent,    ///< It has not announced itself for too long.
    replaced,  ///< Another upstream has its address.
    departed,  ///< Another daemon has told that it had withdrawn itself before.
};

namespace detail {

inline constexpr std::array<std::pair<upstream_removal, std::string_view>, 4> upstream_removal_names{{
    {upstream_removal::withdrawn, "withdrawn"},
    {upstream_removal::silent, "silent"},
    {upstream_removal::replaced, "replaced"},
    {upstream_removal::departed, "departed"},
}};

} // namespace detail

/// @return the stable name of @p reason.
inline std::string_view name(upstream_removal reason) {
    const auto* const found = std::ranges::find(detail::upstream_removal_names, reason,
                                                &decltype(detail::upstream_removal_names)::value_type::first);
    return found == detail::upstream_removal_names.end() ? "" : found->second;
}

} // namespace amaranthladder
