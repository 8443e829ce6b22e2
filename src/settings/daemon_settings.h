#pragma once

#include "common/endpoint.h"
#include "common/event_log.h"

#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

class settings_values;

/// The daemon's settings, one member per section of the file. docs/settings.md describes them.
struct daemon_settings {
    struct daemon_section {
        std::string mesh;
        std::string region;
        std::string data_center;
        std::string worker;
        std::string service; ///< Service of the upstream beside the daemon; may be empty.

        friend bool operator==(const daemon_section&, const daemon_section&) = default;
    };
    struct host_section {
        double link_mbps = 0; ///< Speed of the host's link in megabits per second; 0: unknown.

        friend bool operator==(const host_section&, const host_section&) = default;
    };
    struct listen_section {
        endpoint requests;
        endpoint owner;         ///< Without an address: same as requests.
        endpoint readiness;     ///< Without an address: not served.
        endpoint announcements; ///< Without an address: not served.
        endpoint control;
        endpoint peers;

        friend bool operator==(const listen_section&, const listen_section&) = default;
    };
    struct store_section {
        endpoint address;
        absl::Duration call_timeout;
        absl::Duration lease;
        absl::Duration watch;

        friend bool operator==(const store_section&, const store_section&) = default;
    };
    struct peers_section {
        std::vector<endpoint> seeds;
        absl::Duration probe_interval;
        absl::Duration probe_timeout;

        friend bool operator==(const peers_section&, const peers_section&) = default;
    };
    struct requests_section {
        int max_connections = 0;
        std::size_t max_header_bytes = 0;
        std::size_t body_buffer_bytes = 0;
        std::size_t max_ahead = 0;
        std::size_t max_ahead_total = 0;
        absl::Duration connect_timeout;
        absl::Duration first_byte_timeout;
        absl::Duration header_timeout;
        absl::Duration keep_alive_timeout;
        absl::Duration body_idle_timeout;
        absl::Duration idle_connection;
        absl::Duration default_timeout;
        int retry_budget_percent = 0;
        int queue_limit = 0;
        absl::Duration warm_up;
        absl::Duration announcement_timeout;
        absl::Duration drain_timeout;

        friend bool operator==(const requests_section&, const requests_section&) = default;
    };
    struct routing_section {
        double nested_reserve = 0;
        double cross_data_center_ms_per_mb = 0;

        friend bool operator==(const routing_section&, const routing_section&) = default;
    };
    struct platform_section {
        std::string interface = "own";
        std::string limits;
        std::string seeds;

        friend bool operator==(const platform_section&, const platform_section&) = default;
    };
    struct log_section {
        log_level level = log_level::info;
        std::string file; ///< Empty: the standard error stream.
        std::size_t queue_lines = 0;

        friend bool operator==(const log_section&, const log_section&) = default;
    };

    daemon_section daemon;
    host_section host;
    listen_section listen;
    store_section store;
    peers_section peers;
    requests_section requests;
    routing_section routing;
    platform_section platform;
    log_section log;

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

/// Reads the daemon's settings.
/// @param path path of the file.
/// @return the settings.
/// @throws config_error_list with all problems: file_unreadable, those of settings_reader, and setting_conflict for
/// settings that contradict each other.
daemon_settings read_daemon_settings(const std::string& path);

/// Reads the daemon's settings from a text, otherwise as read_daemon_settings(path).
/// @param file name of the file, for error messages.
/// @param text content of the file.
daemon_settings read_daemon_settings(const std::string& file, std::string_view text);

/// Formats the output of `--print-settings`.
/// @param path path of the settings file, or empty for the defaults alone.
/// @return every setting with its value, unit, range and description, in the format of the settings file.
/// @throws config_error_list as read_daemon_settings.
std::string format_daemon_settings(const std::string& path);

} // namespace amaranthladder
