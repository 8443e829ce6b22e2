#include "settings/daemon_settings.h"

#include "config/config_problem.h"
#include "config/ini_reader.h"
#include "settings/settings_reader.h"
#include "settings/settings_table.h"

#include <fmt/format.h>

#include <fstream>

namespace amaranthladder {

namespace {

std::string read_file(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    std::string text(ini_reader::max_file_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad() || !stream.eof()) {
        throw config_error_list({{result_code::file_unreadable, path, 0, "", "", "cannot be read or is too large"}});
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

endpoint optional_address(const settings_values& values, std::string_view key) {
    const std::vector<endpoint> endpoints = values.addresses("listen", key);
    return endpoints.empty() ? endpoint{} : endpoints.front();
}

daemon_settings to_daemon_settings(const settings_values& values) {
    daemon_settings result;
    result.daemon = {values.text("daemon", "mesh"), values.text("daemon", "region"),
                     values.text("daemon", "data_center"), values.text("daemon", "worker"),
                     values.text("daemon", "service")};
    result.host = {values.decimal("host", "link_mbps")};
    result.listen = {values.address("listen", "requests"),  optional_address(values, "owner"),
                     optional_address(values, "readiness"), optional_address(values, "announcements"),
                     values.address("listen", "control"),   values.address("listen", "peers")};
    result.store = {values.address("store", "address"), values.duration("store", "call_timeout"),
                    values.duration("store", "lease"), values.duration("store", "watch")};
    result.peers = {values.addresses("peers", "seeds"), values.duration("peers", "probe_interval"),
                    values.duration("peers", "probe_timeout")};
    result.requests = {static_cast<int>(values.integer("requests", "max_connections")),
                       static_cast<std::size_t>(values.integer("requests", "max_header_bytes")),
                       static_cast<std::size_t>(values.integer("requests", "body_buffer_bytes")),
                       static_cast<std::size_t>(values.integer("requests", "max_ahead")),
                       static_cast<std::size_t>(values.integer("requests", "max_ahead_total")),
                       values.duration("requests", "connect_timeout"),
                       values.duration("requests", "first_byte_timeout"),
                       values.duration("requests", "header_timeout"),
                       values.duration("requests", "keep_alive_timeout"),
                       values.duration("requests", "body_idle_timeout"),
                       values.duration("requests", "idle_connection"),
                       values.duration("requests", "default_timeout"),
                       static_cast<int>(values.integer("requests", "retry_budget_percent")),
                       static_cast<int>(values.integer("requests", "queue_limit")),
                       values.duration("requests", "warm_up"),
                       values.duration("requests", "announcement_timeout"),
                       values.duration("requests", "drain_timeout")};
    result.routing = {values.decimal("routing", "nested_reserve"),
                      values.decimal("routing", "cross_data_center_ms_per_mb")};
    result.platform = {values.text("platform", "interface"), values.text("platform", "limits"),
                       values.text("platform", "seeds")};
    result.log = {parse_log_level(values.text("log", "level")), values.text("log", "file"),
                  static_cast<std::size_t>(values.integer("log", "queue_lines"))};
    return result;
}

bool is_same_port(const endpoint& left, const endpoint& right) {
    return left.port != 0 && left == right;
}

/// @return the settings that contradict each other.
std::vector<config_problem> find_conflicts(const std::string& file, const daemon_settings& settings) {
    std::vector<config_problem> result;
    const auto require = [&](bool holds, const char* section, const char* key, const char* text) {
        if (!holds) {
            result.push_back({result_code::setting_conflict, file, 0, section, key, text});
        }
    };
    const endpoint& requests = settings.listen.requests;
    const endpoint& control = settings.listen.control;
    const endpoint& peers = settings.listen.peers;
    require(!is_same_port(requests, control), "listen", "control", "must differ from [listen] requests");
    require(!is_same_port(requests, peers), "listen", "peers", "must differ from [listen] requests");
    require(!is_same_port(control, peers), "listen", "peers", "must differ from [listen] control");
    require(settings.store.call_timeout < settings.store.lease, "store", "call_timeout",
            "must be shorter than [store] lease, or a renewal cannot be repeated in time");
    require(settings.peers.probe_timeout < settings.peers.probe_interval, "peers", "probe_timeout",
            "must be shorter than [peers] probe_interval");
    require(settings.requests.first_byte_timeout <= settings.requests.default_timeout, "requests", "first_byte_timeout",
            "must not be longer than [requests] default_timeout");
    require(settings.requests.connect_timeout <= settings.requests.first_byte_timeout, "requests", "connect_timeout",
            "must not be longer than [requests] first_byte_timeout");
    return result;
}

} // namespace

daemon_settings read_daemon_settings(const std::string& path) {
    return read_daemon_settings(path, read_file(path));
}

daemon_settings read_daemon_settings(const std::string& file, std::string_view text) {
    daemon_settings result = to_daemon_settings(settings_reader(daemon_settings_table()).read(file, text));
    throw_if_any(find_conflicts(file, result));
    return result;
}

std::string format_daemon_settings(const std::string& path) {
    if (path.empty()) {
        return format_defaults(daemon_settings_table());
    }
    const std::string text = read_file(path);
    read_daemon_settings(path, text);
    return settings_reader(daemon_settings_table()).read(path, text).format();
}

} // namespace amaranthladder
