#include "daemon/upstream_announcement.h"

#include "common/error.h"
#include "config/name_rules.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cmath>

namespace amaranthladder {

namespace {

constexpr int max_slots = 10'000;
constexpr std::uint64_t max_cold_ms = 600'000;
constexpr std::size_t max_routes = 1'000;
constexpr std::size_t max_json_depth = 4;

[[noreturn]] void fail(std::string_view key, std::string_view rule) {
    throw error(result_code::announcement_malformed, fmt::format("{}: {}", key, rule));
}

std::string read_name(const boost::json::object& body, std::string_view key) {
    const auto* value = body.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_string()) {
        fail(key, name_rule);
    }
    std::string text(value->as_string());
    if (!is_valid_name(text)) {
        fail(key, name_rule);
    }
    return text;
}

endpoint read_address(const boost::json::object& body) {
    const auto* value = body.if_contains("address");
    if (value == nullptr || !value->is_string()) {
        fail("address", "must be ADDRESS:PORT");
    }
    const auto& text = value->as_string();
    endpoint address;
    try {
        address = parse_endpoint({text.data(), text.size()});
    } catch (const error& problem) {
        fail("address", problem.what());
    }
    if (address.port == 0) {
        fail("address", "the port must not be 0");
    }
    return address;
}

int read_slots(const boost::json::object& body) {
    const auto* value = body.if_contains("slots");
    if (value == nullptr || !value->is_int64() || value->as_int64() < 1 || value->as_int64() > max_slots) {
        fail("slots", fmt::format("must be an integer from 1 to {}", max_slots));
    }
    return static_cast<int>(value->as_int64());
}

std::vector<std::string> read_routes(const boost::json::object& body) {
    std::vector<std::string> routes;
    const auto* value = body.if_contains("routes");
    if (value == nullptr) {
        return routes;
    }
    if (!value->is_array() || value->as_array().size() > max_routes) {
        fail("routes", fmt::format("must be an array of at most {} names", max_routes));
    }
    for (const auto& entry : value->as_array()) {
        if (!entry.is_string() || !is_valid_name(std::string(entry.as_string()))) {
            fail("routes", name_rule);
        }
        routes.emplace_back(entry.as_string());
    }
    return routes;
}

double read_load(const boost::json::object& body) {
    const auto* value = body.if_contains("load");
    if (value == nullptr) {
        return 0;
    }
    boost::json::error_code failure;
    const double load = value->to_number<double>(failure);
    if (failure || !std::isfinite(load) || load < 0) {
        fail("load", "must be a non-negative number");
    }
    return load;
}

bool read_leaving(const boost::json::object& body) {
    const auto* value = body.if_contains("leaving");
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        fail("leaving", "must be true or false");
    }
    return value->as_bool();
}

/// @return the number, or 0 if it is missing.
std::uint64_t read_count(const boost::json::object& body, std::string_view key) {
    const auto* value = body.if_contains({key.data(), key.size()});
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_int64() || value->as_int64() < 0) {
        fail(key, "must be a non-negative integer");
    }
    return static_cast<std::uint64_t>(value->as_int64());
}

} // namespace

std::string to_json(const upstream_announcement& announcement) {
    boost::json::object body{{"id", announcement.id},
                             {"service", announcement.service},
                             {"version", announcement.version},
                             {"address", to_string(announcement.address)},
                             {"slots", announcement.slots},
                             {"leaving", announcement.is_leaving},
                             {"started_at_ms", absl::ToUnixMillis(announcement.started_at)}};
    if (!announcement.routes.empty()) {
        body["routes"] = boost::json::value_from(announcement.routes);
    }
    return boost::json::serialize(body);
}

upstream_announcement parse_announcement(std::string_view json) {
    if (json.size() > max_announcement_bytes) {
        throw error(result_code::message_too_large,
                    fmt::format("an announcement must not exceed {} bytes", max_announcement_bytes));
    }
    boost::json::error_code failure;
    boost::json::parse_options options;
    options.max_depth = max_json_depth;
    const auto parsed = boost::json::parse({json.data(), json.size()}, failure, {}, options);
    if (failure || !parsed.is_object()) {
        throw error(result_code::announcement_malformed, "the body is not a JSON object");
    }
    const auto& body = parsed.as_object();
    upstream_announcement result;
    result.id = read_name(body, "id");
    result.service = read_name(body, "service");
    result.version = read_name(body, "version");
    result.address = read_address(body);
    result.slots = read_slots(body);
    result.routes = read_routes(body);
    result.load = read_load(body);
    result.is_leaving = read_leaving(body);
    result.started_at = absl::FromUnixMillis(static_cast<std::int64_t>(read_count(body, "started_at_ms")));
    result.sequence = read_count(body, "sequence");
    const std::uint64_t cold_ms = read_count(body, "cold_ms");
    if (cold_ms > max_cold_ms) {
        fail("cold_ms", fmt::format("must be at most {}", max_cold_ms));
    }
    result.remaining_warm_up = absl::Milliseconds(cold_ms);
    return result;
}

} // namespace amaranthladder
