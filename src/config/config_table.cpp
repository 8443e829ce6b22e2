#include "config/config_table.h"

#include <algorithm>
#include <array>

namespace amaranthladder {

namespace {

// A request that may take longer than an hour cannot be drained within any sensible shutdown.
constexpr std::int64_t longest_timeout_ms = 3'600'000;
// Shorter timeouts are below the scheduling delays of a busy host.
constexpr std::int64_t shortest_timeout_ms = 10;

// clang-format off
constexpr auto config_key_table = std::to_array<config_key>({
    {"service", "timeout_ms", config_type::milliseconds, true, "", shortest_timeout_ms, longest_timeout_ms, "Deadline of a request whose caller gives none."},
    {"service", "queue_limit", config_type::integer, false, "16", 0, 10'000, "Requests that may wait at one upstream when its slots are taken."},
    {"route", "service", config_type::name, true, "", 0, 0, "The service that answers; it must be declared in the folder."},
    {"route", "path_prefix", config_type::path, true, "", 0, 0, "Matches whole path segments; the longest matching prefix wins."},
    {"route", "methods", config_type::methods, false, "all methods", 0, 0, "The methods that the route takes."},
    {"route", "idempotent", config_type::boolean, false, "no", 0, 0, "`yes`: a request of any method may be retried."},
    {"route", "timeout_ms", config_type::milliseconds, false, "the service's", shortest_timeout_ms, longest_timeout_ms, "Deadline of a request whose caller gives none."},
    {"share", any_version, config_type::integer, true, "", 0, 1'000, "Weight of this version; at least one version of a share has a weight above 0."},
    {"move", "service", config_type::name, true, "", 0, 0, "The service whose requests are shifted; one move a service."},
    {"move", "from", config_type::name, true, "", 0, 0, "The version that serves now."},
    {"move", "to", config_type::name, true, "", 0, 0, "The version that takes over; another one than `from`."},
    {"move", "deadline", config_type::time, true, "", 0, 0, "When the move must be complete."},
});
// clang-format on

} // namespace

std::span<const config_key> config_keys() {
    return config_key_table;
}

const config_key* find_config_key(std::string_view section, std::string_view key) {
    const auto found = std::ranges::find_if(config_key_table, [&](const config_key& row) {
        return row.section == section && (row.key == key || row.key == any_version);
    });
    return found == config_key_table.end() ? nullptr : &*found;
}

bool is_config_section(std::string_view section) {
    return std::ranges::find(config_key_table, section, &config_key::section) != config_key_table.end();
}

std::string_view name(config_type type) {
    switch (type) {
    case config_type::integer:
        return "integer";
    case config_type::milliseconds:
        return "integer, milliseconds";
    case config_type::boolean:
        return "`yes` or `no`";
    case config_type::name:
        return "name";
    case config_type::path:
        return "path";
    case config_type::methods:
        return "list of HTTP methods, separated by commas";
    case config_type::time:
        return "RFC 3339 time";
    }
    return "";
}

} // namespace amaranthladder
