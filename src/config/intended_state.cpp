#include "config/intended_state.h"

#include <array>
#include <utility>

namespace amaranthladder {

namespace {

constexpr std::array<std::pair<route_kind, std::string_view>, 5> route_kind_names{{
    {route_kind::by_method, "by-method"},
    {route_kind::idempotent, "idempotent"},
    {route_kind::non_idempotent, "non-idempotent"},
    {route_kind::download, "download"},
    {route_kind::upload, "upload"},
}};

} // namespace

std::string_view name(route_kind kind) {
    for (const auto& [value, text] : route_kind_names) {
        if (value == kind) {
            return text;
        }
    }
    return "";
}

std::optional<route_kind> parse_route_kind(std::string_view text) {
    for (const auto& [value, known] : route_kind_names) {
        if (known == text) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace amaranthladder
