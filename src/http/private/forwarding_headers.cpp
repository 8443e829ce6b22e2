#include "http/private/forwarding_headers.h"

#include "common/error.h"
#include "common/parse_number.h"

#include <absl/strings/ascii.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>
#include <vector>

namespace amaranthladder {

namespace {

constexpr std::array hop_by_hop_fields{http::field::connection, http::field::keep_alive, http::field::proxy_connection,
                                       http::field::te,         http::field::trailer,    http::field::transfer_encoding,
                                       http::field::upgrade,    http::field::expect};

/// @return the number in header @p name, or nothing if the header is absent or empty.
/// @throws error with result_code::request_malformed if the value is not a number or is negative.
std::optional<std::int64_t> number_field(const http::fields& fields, std::string_view name) {
    const std::string_view text = field_value(fields, name);
    if (text.empty()) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> number = parse_number<std::int64_t>(text);
    if (!number || *number < 0) {
        throw error(result_code::request_malformed,
                    fmt::format("header {}: '{}' is not a non-negative number", name, text));
    }
    return number;
}

constexpr double percent = 100;

/// @return the finite number above 0 in header @p name of another daemon's response; nothing if there is none.
std::optional<double> positive_number(const http::fields& fields, std::string_view name) {
    const std::optional<double> number = parse_number<double>(field_value(fields, name));
    return number && std::isfinite(*number) && *number > 0 ? number : std::nullopt;
}

std::string milliseconds_text(absl::Duration value) {
    return std::to_string(std::max<std::int64_t>(0, absl::ToInt64Milliseconds(value)));
}

/// Sets a header unless its name or its value is empty.
void set_if_not_empty(http::fields& fields, std::string_view name, const std::string& value) {
    if (!name.empty() && !value.empty()) {
        fields.set(beast_view(name), value);
    }
}

presented_key read_key(const http::fields& fields, const header_names& names) {
    if (names.authorization.empty()) {
        return {};
    }
    std::vector<std::string_view> values;
    const auto [first, last] = fields.equal_range(beast_view(names.authorization));
    for (auto field = first; field != last; ++field) {
        values.emplace_back(field->value().data(), field->value().size());
    }
    return read_presented_key(values, names.authorization_scheme);
}

/// @return true if a server may take a header for the one with the name @p wanted.
bool is_like(beast::string_view name, std::string_view wanted) {
    return std::ranges::equal(name, wanted, [](char left, char right) {
        const auto normal = [](char letter) {
            return letter == '_' ? '-' : absl::ascii_tolower(static_cast<unsigned char>(letter));
        };
        return normal(left) == normal(right);
    });
}

} // namespace

std::string_view field_value(const http::fields& fields, std::string_view name) {
    const beast::string_view value = fields[beast_view(name)];
    return {value.data(), value.size()};
}

forwarding_info read_forwarding_headers(const http::fields& fields) {
    forwarding_info info;
    info.mesh = field_value(fields, header::mesh);
    info.request_id = field_value(fields, header::request_id);
    info.route = field_value(fields, header::route);
    info.upstream = field_value(fields, header::upstream);
    if (const auto time_left_ms = number_field(fields, header::deadline_ms)) {
        info.time_left = absl::Milliseconds(*time_left_ms);
    }
    info.hop = static_cast<int>(number_field(fields, header::hop).value_or(0));
    info.attempt = static_cast<int>(number_field(fields, header::attempt).value_or(0));
    info.caller_service = field_value(fields, header::caller_service);
    info.is_idempotent = !field_value(fields, header::repeatable).empty();
    info.priority = static_cast<int>(number_field(fields, header::priority).value_or(0));
    if (const auto target_ms = number_field(fields, header::target_ms)) {
        info.target_time_left = absl::Milliseconds(*target_ms);
    }
    info.tenant = field_value(fields, header::tenant);
    info.key.digest = field_value(fields, header::key_digest);
    info.is_nested = field_value(fields, header::nested) == "1";
    info.sent = parse_send_stamp(field_value(fields, header::sent));
    return info;
}

forwarding_info read_caller_headers(const http::fields& fields, const header_names& names) {
    forwarding_info info;
    info.request_id = field_value(fields, names.request_id);
    info.hop = static_cast<int>(number_field(fields, header::hop).value_or(0));
    if (const auto time_left_ms = number_field(fields, names.deadline_ms)) {
        info.time_left = absl::Milliseconds(*time_left_ms);
    }
    info.key = read_key(fields, names);
    return info;
}

void write_forwarding_headers(http::fields& fields, const forwarding_info& info) {
    set_if_not_empty(fields, header::mesh, info.mesh);
    set_if_not_empty(fields, header::request_id, info.request_id);
    set_if_not_empty(fields, header::route, info.route);
    set_if_not_empty(fields, header::upstream, info.upstream);
    set_if_not_empty(fields, header::hop, std::to_string(info.hop));
    set_if_not_empty(fields, header::attempt, std::to_string(info.attempt));
    set_if_not_empty(fields, header::caller_service, info.caller_service);
    set_if_not_empty(fields, header::repeatable, info.is_idempotent ? "1" : "");
    set_if_not_empty(fields, header::priority, info.priority == 0 ? "" : std::to_string(info.priority));
    set_if_not_empty(fields, header::tenant, info.tenant);
    set_if_not_empty(fields, header::key_digest, info.tenant.empty() ? "" : info.key.digest);
    set_if_not_empty(fields, header::nested, info.is_nested ? "1" : "");
    set_if_not_empty(fields, header::sent, info.sent ? to_string(*info.sent) : "");
    if (info.target_time_left) {
        set_if_not_empty(fields, header::target_ms, milliseconds_text(*info.target_time_left));
    }
    if (info.time_left) {
        set_if_not_empty(fields, header::deadline_ms, milliseconds_text(*info.time_left));
    }
}

void write_upstream_headers(http::fields& fields, const forwarding_info& info, const header_names& names,
                            const std::string& expected_upstream) {
    set_if_not_empty(fields, names.request_id, info.request_id);
    if (info.time_left) {
        set_if_not_empty(fields, names.deadline_ms, milliseconds_text(*info.time_left));
    }
    set_if_not_empty(fields, names.expected_upstream, expected_upstream);
    set_if_not_empty(fields, names.tenant, info.tenant);
    if (!names.caller_service.empty()) {
        fields.erase(beast_view(names.caller_service));
        set_if_not_empty(fields, names.caller_service, info.caller_service);
    }
    if (names.passes_mesh_headers) {
        set_if_not_empty(fields, header::route, info.route);
        set_if_not_empty(fields, header::hop, std::to_string(info.hop));
        set_if_not_empty(fields, header::attempt, std::to_string(info.attempt));
    }
}

upstream_signals read_upstream_signals(const http::fields& fields, const header_names& names) {
    upstream_signals signals;
    if (!names.rate_limit.empty() && fields.count(beast_view(names.rate_limit)) > 0) {
        signals.rate_limit = parse_rate_limit(field_value(fields, names.rate_limit));
        signals.is_rate_limit_malformed = !signals.rate_limit;
    }
    if (!names.server_load.empty() && fields.count(beast_view(names.server_load)) > 0) {
        signals.server_load = parse_server_load(field_value(fields, names.server_load));
        signals.is_server_load_malformed = !signals.server_load;
    }
    signals.is_leaving = !names.leaving.empty() && field_value(fields, names.leaving) == "1";
    return signals;
}

void write_report(http::fields& fields, const owner_report& report) {
    fields.set(beast_view(header::load), fmt::format("{:.3f}", report.load));
    fields.set(beast_view(header::service_us), std::to_string(absl::ToInt64Microseconds(report.service_time)));
    fields.set(beast_view(header::route_us), std::to_string(absl::ToInt64Microseconds(report.route_service_time)));
    if (report.rate_limit) {
        fields.set(beast_view(header::rate_limit), fmt::format("{:g}", *report.rate_limit));
    }
    if (report.work_factor != 1) {
        fields.set(beast_view(header::speed), fmt::format("{:.0f}", report.work_factor * percent));
    }
    if (report.link_utilisation) {
        fields.set(beast_view(header::link), fmt::format("{:.0f}", *report.link_utilisation * percent));
        fields.set(beast_view(header::link_mbps), fmt::format("{:g}", report.link_mbps));
    }
    if (report.wait) {
        fields.set(beast_view(header::wait_ms), milliseconds_text(*report.wait));
    }
    if (report.is_leaving) {
        fields.set(beast_view(header::leaving), "1");
    }
}

std::optional<owner_report> read_report(const http::fields& fields) {
    const std::string_view text = field_value(fields, header::load);
    owner_report report;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), report.load);
    if (text.empty() || failure != std::errc{} || !std::isfinite(report.load)) {
        return std::nullopt;
    }
    const auto microseconds = [&fields](std::string_view name) {
        return absl::Microseconds(std::max<std::int64_t>(number_or_zero<std::int64_t>(fields, name), 0));
    };
    report.service_time = microseconds(header::service_us);
    report.route_service_time = microseconds(header::route_us);
    report.rate_limit = parse_rate_limit(field_value(fields, header::rate_limit));
    report.work_factor = positive_number(fields, header::speed).value_or(percent) / percent;
    // A link of unknown speed is not taken into account.
    const auto utilisation = parse_number<double>(field_value(fields, header::link));
    const auto link_mbps = positive_number(fields, header::link_mbps);
    if (utilisation && std::isfinite(*utilisation) && *utilisation >= 0 && link_mbps) {
        report.link_utilisation = *utilisation / percent;
        report.link_mbps = *link_mbps;
    }
    if (!field_value(fields, header::wait_ms).empty()) {
        report.wait = absl::Milliseconds(std::max(number_or_zero<int>(fields, header::wait_ms), 0));
    }
    report.is_leaving = field_value(fields, header::leaving) == "1";
    return report;
}

void remove_hop_by_hop_headers(http::fields& fields) {
    std::vector<std::string> connection_options;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        for (const auto& token : http::token_list{field->value()}) {
            connection_options.emplace_back(token);
        }
    }
    for (const auto& name : connection_options) {
        fields.erase(name);
    }
    for (const auto field : hop_by_hop_fields) {
        fields.erase(field);
    }
    std::vector<std::string> mesh_headers;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        if (boost::algorithm::istarts_with(name, header::prefix)) {
            mesh_headers.emplace_back(name);
        }
    }
    for (const auto& name : mesh_headers) {
        fields.erase(name);
    }
}

void remove_identity_headers(http::fields& fields, const header_names& names) {
    for (auto field = fields.begin(); field != fields.end();) {
        const bool is_identity =
            is_like(field->name_string(), names.authorization) || is_like(field->name_string(), names.tenant);
        field = is_identity ? fields.erase(field) : std::next(field);
    }
}

} // namespace amaranthladder
