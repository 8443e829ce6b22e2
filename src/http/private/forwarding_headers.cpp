#include "http/private/forwarding_headers.h"

#include "common/error.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <vector>

namespace amaranthladder {

namespace {

constexpr std::array hop_by_hop_fields{http::field::connection, http::field::keep_alive, http::field::proxy_connection,
                                       http::field::te,         http::field::trailer,    http::field::transfer_encoding,
                                       http::field::upgrade,    http::field::expect};

/// @return the number in header @p name, or nothing if there is no such header.
std::optional<std::int64_t> number_field(const http::fields& fields, std::string_view name) {
    const std::string_view text = field_value(fields, name);
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size() || number < 0) {
        throw error(result_code::request_malformed, fmt::format("header {}: '{}' is not a number", name, text));
    }
    return number;
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
    return info;
}

void write_forwarding_headers(http::fields& fields, const forwarding_info& info) {
    const auto set = [&fields](std::string_view name, const std::string& value) {
        if (!value.empty()) {
            fields.set(beast_view(name), value);
        }
    };
    set(header::mesh, info.mesh);
    set(header::request_id, info.request_id);
    set(header::route, info.route);
    set(header::upstream, info.upstream);
    set(header::hop, std::to_string(info.hop));
    set(header::attempt, std::to_string(info.attempt));
    if (info.time_left) {
        set(header::deadline_ms, std::to_string(absl::ToInt64Milliseconds(*info.time_left)));
    }
}

void remove_hop_by_hop_headers(http::fields& fields) {
    std::vector<std::string> listed;
    for (const auto& token : http::token_list{fields[http::field::connection]}) {
        listed.emplace_back(token);
    }
    for (const auto& name : listed) {
        fields.erase(name);
    }
    for (const auto field : hop_by_hop_fields) {
        fields.erase(field);
    }
    std::vector<std::string> of_mesh;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        if (boost::algorithm::istarts_with(name, header::prefix)) {
            of_mesh.emplace_back(name);
        }
    }
    for (const auto& name : of_mesh) {
        fields.erase(name);
    }
}

} // namespace amaranthladder
