#include "settings/settings_table.h"

#include "common/event_log.h"
#include "settings/quantities.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace amaranthladder {

namespace {

constexpr std::int64_t second = 1'000; // milliseconds
constexpr std::int64_t minute = 60 * second;
constexpr std::int64_t hour = 60 * minute;
constexpr std::int64_t kibibyte = 1'024; // bytes
constexpr std::int64_t mebibyte = 1'024 * kibibyte;

// Upstream calls must stay under 1.1 times caller calls; 9 percent leaves room for rounding and bursts.
constexpr std::int64_t max_retry_budget_percent = 9;
// clang-format off
constexpr auto daemon_table = std::to_array<setting_row>({
    {"daemon", "mesh", setting_type::name, true, "", 0, 0, "Name of the mesh. Messages of other meshes are dropped."},
    {"daemon", "region", setting_type::name, false, "default", 0, 0, "Region of the host."},
    {"daemon", "data_center", setting_type::name, true, "", 0, 0, "Data centre of the host."},
    {"daemon", "worker", setting_type::name, true, "", 0, 0, "Name of the host, unique in the mesh."},
    {"daemon", "service", setting_type::text, false, "", 0, 0, "Service of the upstream beside the daemon, passed to other upstreams if the platform requires it."},
    {"host", "link_mbps", setting_type::decimal, false, "0", 0, 1'000'000, "Speed of the host's link in megabits per second. 0: unknown, the link is not taken into account."},
    {"listen", "requests", setting_type::reachable_endpoint, true, "", 0, 0, "Address for callers and for other daemons' requests."},
    {"listen", "owner", setting_type::endpoint_list, false, "", 0, 0, "At most one address, for other daemons' requests. Empty: [listen] requests."},
    {"listen", "readiness", setting_type::endpoint_list, false, "", 0, 0, "At most one address, for a platform's readiness checks of the daemon. Empty: none."},
    {"listen", "announcements", setting_type::endpoint_list, false, "", 0, 0, "At most one address, for announcements of a platform's upstreams. Empty: none."},
    {"listen", "control", setting_type::listen_endpoint, true, "", 0, 0, "Address for announcements, status and metrics."},
    {"listen", "peers", setting_type::reachable_endpoint, true, "", 0, 0, "Address for other daemons, UDP and TCP."},
    {"store", "address", setting_type::endpoint, true, "", 0, 0, "Address of the platform's key-value store."},
    {"store", "call_timeout", setting_type::duration, false, "500ms", 10, 10 * second, "Deadline of one store call other than a watch."},
    {"store", "lease", setting_type::duration, false, "10s", 1 * second, 10 * minute, "Time to live of a lease without renewal."},
    {"store", "watch", setting_type::duration, false, "20s", 1 * second, 10 * minute, "Deadline of one watch call."},
    {"peers", "seeds", setting_type::endpoint_list, false, "", 0, 0, "Peer addresses through which the daemon joins the mesh. Empty: the daemon waits until other daemons contact it, unless a platform adapter supplies addresses."},
    {"peers", "probe_interval", setting_type::duration, false, "1s", 50, 1 * minute, "Time between two probes."},
    {"peers", "probe_timeout", setting_type::duration, false, "300ms", 10, 30 * second, "Time to wait for the response to a probe before indirect probes are sent."},
    {"requests", "max_connections", setting_type::integer, false, "2000", 1, 100'000, "Connections accepted on the request port."},
    {"requests", "max_header_bytes", setting_type::size, false, "64KiB", 1 * kibibyte, 1 * mebibyte, "Largest header block of a request or response."},
    {"requests", "body_buffer_bytes", setting_type::size, false, "64KiB", 1 * kibibyte, 16 * mebibyte, "A body up to this size is buffered and can be sent again; a larger one is streamed."},
    {"requests", "max_ahead", setting_type::integer, false, "16", 0, 1'000, "Requests that a caller may send on a connection before the response to an earlier one; those that may be repeated are served side by side. 0: each waits for the response before it."},
    {"requests", "max_ahead_total", setting_type::integer, false, "256", 0, 100'000, "The same for all connections together."},
    {"requests", "connect_timeout", setting_type::duration, false, "250ms", 10, 30 * second, "Timeout for opening a connection to a daemon or an upstream."},
    {"requests", "first_byte_timeout", setting_type::duration, false, "5s", 10, 1 * hour, "Timeout for the first byte of a response."},
    {"requests", "header_timeout", setting_type::duration, false, "10s", 100, 10 * minute, "Timeout for a request's headers after their first byte has arrived."},
    {"requests", "keep_alive_timeout", setting_type::duration, false, "60s", 100, 1 * hour, "Time that a caller's connection may stay idle before its next request."},
    {"requests", "body_idle_timeout", setting_type::duration, false, "30s", 100, 1 * hour, "Time without progress after which the transfer of a body is aborted."},
    {"requests", "idle_connection", setting_type::duration, false, "1s", 0, 1 * hour, "Idle time after which a pooled connection is not used for non-idempotent requests."},
    {"requests", "default_timeout", setting_type::duration, false, "15s", 10, 1 * hour, "Deadline of a request when neither the caller nor its route or service sets one."},
    {"requests", "retry_budget_percent", setting_type::integer, false, "8", 0, max_retry_budget_percent, "Retries allowed for each 100 recent requests."},
    {"requests", "queue_limit", setting_type::integer, false, "16", 0, 10'000, "Requests that may wait at the upstream while its service is not in the configuration."},
    {"requests", "warm_up", setting_type::duration, false, "10s", 0, 10 * minute, "Time over which a new upstream is ramped up to its full share."},
    {"requests", "announcement_timeout", setting_type::duration, false, "3s", 500, 1 * minute, "Time without announcements after which an upstream is withdrawn."},
    {"requests", "drain_timeout", setting_type::duration, false, "60s", 0, 1 * hour, "Time limit for requests in flight at shutdown; a platform's grace period shortens it."},
    {"routing", "nested_reserve", setting_type::decimal, false, "0", 0, 1, "Largest share of an upstream's slots that is kept free of new work for nested calls, half of them at most. For services that call one another in a cycle; otherwise it costs capacity."},
    {"routing", "cross_data_center_ms_per_mb", setting_type::decimal, false, "1000", 0, 1'000'000, "Waiting time in milliseconds that a caller may be asked to accept to save a megabyte between data centres."},
    {"platform", "interface", setting_type::name, false, "own", 0, 0, "Interface to callers, upstreams and the store: own, or the name of a platform adapter."},
    {"platform", "limits", setting_type::text, false, "", 0, 0, "Limits of the platform, in the format of its adapter."},
    {"platform", "seeds", setting_type::text, false, "", 0, 0, "Addresses of other daemons, in the format of the adapter."},
    {"log", "level", setting_type::log_level, false, "info", 0, 0, "Least severe level that is logged."},
    {"log", "file", setting_type::text, false, "", 0, 0, "Log file, or `-` for the standard output. Empty: the standard error stream."},
    {"log", "queue_lines", setting_type::integer, false, "8192", 16, 1'048'576, "Capacity of the log queue in lines; when it is full, the oldest line is dropped."},
});

// clang-format on

std::string format_range(const setting_row& row) {
    switch (row.type) {
    case setting_type::duration:
        return fmt::format("{} to {}", format_duration(absl::Milliseconds(row.min_value)),
                           format_duration(absl::Milliseconds(row.max_value)));
    case setting_type::size:
        return fmt::format("{} to {}", format_size(row.min_value), format_size(row.max_value));
    default:
        return fmt::format("{} to {}", row.min_value, row.max_value);
    }
}

} // namespace

settings_table daemon_settings_table() {
    return daemon_table;
}

const setting_row* find_setting(settings_table table, std::string_view section, std::string_view key) {
    const auto found =
        std::ranges::find_if(table, [&](const setting_row& row) { return row.section == section && row.key == key; });
    return found == table.end() ? nullptr : &*found;
}

std::string allowed_values(const setting_row& row) {
    switch (row.type) {
    case setting_type::name:
        return "a name of 1 to 64 letters, digits and -_.";
    case setting_type::text:
        return "text, may be empty";
    case setting_type::log_level:
        return fmt::format("{}, {}, {}, {} or {}", name(log_level::debug), name(log_level::info),
                           name(log_level::warning), name(log_level::error), name(log_level::off));
    case setting_type::endpoint:
        return "IP:PORT";
    case setting_type::listen_endpoint:
        return "IP:PORT, port 0 selects a free port";
    case setting_type::reachable_endpoint:
        return "IP:PORT with an IP that other hosts can reach, port 0 selects a free port";
    case setting_type::endpoint_list:
        return "IP:PORT, IP:PORT, ...; may be empty";
    case setting_type::duration:
        return fmt::format("duration (ms, s, m, h), {}", format_range(row));
    case setting_type::size:
        return fmt::format("size (B, KiB, MiB), {}", format_range(row));
    case setting_type::integer:
        return fmt::format("integer, {}", format_range(row));
    case setting_type::decimal:
        return fmt::format("number, {}; may be empty", format_range(row));
    }
    return "";
}

} // namespace amaranthladder
