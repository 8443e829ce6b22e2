#include "config/config_table.h"

#include <algorithm>
#include <array>

namespace amaranthladder {

namespace {

// Draining a request that may take longer than this would delay a shutdown for too long.
constexpr std::int64_t max_timeout_ms = 3'600'000;
// Shorter timeouts are below the scheduling delays of a busy host.
constexpr std::int64_t min_timeout_ms = 10;

// clang-format off
constexpr auto config_key_table = std::to_array<config_key>({
    {"service", "timeout_ms", config_type::milliseconds, true, "", min_timeout_ms, max_timeout_ms, "Deadline of a request whose caller gives none."},
    {"service", "queue_limit", config_type::integer, false, "16", 0, 10'000, "Requests that may wait at one upstream when its slots are taken."},
    {"service", "max_connections", config_type::integer, false, "no limit", 0, 100'000, "Connections that one upstream accepts from all callers."},
    {"service", "health_path", config_type::path, false, "none", 0, 0, "Path that answers whether an upstream is healthy."},
    {"service", "cold_start_ms", config_type::milliseconds, false, "not stated", 0, max_timeout_ms, "Time for which an upstream is cold after its start."},
    {"service", "cold_rate_per_second", config_type::number, false, "no limit", 0, 1'000'000, "Requests per second that a cold upstream tolerates."},
    {"route", "host", config_type::host, false, "every host", 0, 0, "Host that the request names; a route with the host goes before one without."},
    {"route", "service", config_type::name, true, "", 0, 0, "The service that answers; it must be declared in the folder."},
    {"route", "split", config_type::weights, false, "all to `service`", 0, 0, "Divides the requests among services, which must include `service`."},
    {"route", "path_prefix", config_type::path, true, "", 0, 0, "Matches whole path segments; the longest matching prefix wins."},
    {"route", "needs_subpath", config_type::boolean, false, "no", 0, 0, "`yes`: only paths below the prefix match, not the prefix itself."},
    {"route", "methods", config_type::methods, false, "all methods", 0, 0, "The methods that the route takes."},
    {"route", "idempotent", config_type::boolean, false, "no", 0, 0, "`yes`: a request of any method may be retried. `kind` goes before it."},
    {"route", "kind", config_type::kind, false, "by-method", 0, 0, "What may be repeated: by-method, idempotent, non-idempotent, download or upload."},
    {"route", "timeout_ms", config_type::milliseconds, false, "the service's", min_timeout_ms, max_timeout_ms, "Deadline of a request whose caller gives none."},
    {"route", "target_latency_ms", config_type::milliseconds, false, "not stated", 1, max_timeout_ms, "Time in which an answer is worth most to its caller."},
    {"route", "max_attempts", config_type::integer, false, "the daemon's limit", 0, 16, "Upstreams that one request may be sent to."},
    {"route", "priority", config_type::integer, false, "0", 0, 1'000, "Urgency under load; 0 is the most urgent."},
    {"route", "allow_anonymous", config_type::boolean, false, "no", 0, 0, "`yes`: if the folder has tenants, requests without a key are served too."},
    {"share", any_version, config_type::integer, true, "", 0, 1'000, "Weight of this version; at least one version of a share has a weight above 0."},
    {"move", "service", config_type::name, true, "", 0, 0, "The service whose requests are shifted; one move a service."},
    {"move", "from", config_type::name, true, "", 0, 0, "The version that serves now."},
    {"move", "to", config_type::name, true, "", 0, 0, "The version that takes over; another one than `from`."},
    {"move", "deadline", config_type::time, true, "", 0, 0, "When the move must be complete."},
    {"limits", "max_header_bytes", config_type::integer, false, "the daemon's setting", 0, 1'048'576, "Largest header block of a request. The only section of this kind is [limits callers]."},
    {"limits", "max_body_bytes", config_type::integer, false, "no limit", 0, 2'147'483'647, "Largest body of a request."},
    {"limits", "header_timeout_ms", config_type::milliseconds, false, "the daemon's setting", 100, max_timeout_ms, "Limit for a request's headers once their first byte has arrived."},
    {"limits", "idle_timeout_ms", config_type::milliseconds, false, "the daemon's setting", 100, max_timeout_ms, "Time that a caller's connection may wait for its next request."},
    {"tenant", "keys", config_type::keys, true, "", 0, 0, "Keys with which the tenant's callers identify themselves; only their digests are distributed."},
    {"tenant", "priority", config_type::integer, false, "the route's", 0, 1'000, "Urgency under load, which goes before the route's; 0 is the most urgent."},
    {"tenant", "rate_per_second", config_type::number, false, "no limit", 0, 100'000'000, "Requests per second that all daemons together accept from the tenant."},
    {"tenant", "burst", config_type::number, false, "0", 0, 100'000'000, "Requests beyond the rate that may come at once."},
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
    case config_type::kind:
        return "kind of route";
    case config_type::weights:
        return "list of `NAME WEIGHT`, separated by commas";
    case config_type::host:
        return "host name";
    case config_type::number:
        return "decimal number";
    case config_type::keys:
        return "list of keys, separated by commas";
    }
    return "";
}

} // namespace amaranthladder
