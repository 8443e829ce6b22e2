#include "tool/daemon_client.h"

#include "common/error.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include <utility>

namespace amaranthladder {

namespace {

void append_lines(const std::string& path, const boost::json::value& value, std::string& lines) {
    const std::string prefix = path.empty() ? "" : path + ".";
    if (value.is_object()) {
        for (const auto& [key, entry] : value.get_object()) {
            append_lines(prefix + std::string(key.data(), key.size()), entry, lines);
        }
    } else if (value.is_array()) {
        for (std::size_t position = 0; position < value.get_array().size(); ++position) {
            append_lines(prefix + std::to_string(position), value.get_array()[position], lines);
        }
    } else {
        const std::string text = value.is_string() ? std::string(value.get_string().data(), value.get_string().size())
                                                   : boost::json::serialize(value);
        lines += fmt::format("{}: {}\n", path, text);
    }
}

boost::json::value parse_json(const std::string& json) {
    boost::json::error_code failure;
    boost::json::value parsed = boost::json::parse(json, failure);
    if (failure) {
        throw error(result_code::message_malformed, "the response is not JSON");
    }
    return parsed;
}

} // namespace

daemon_client::daemon_client(endpoint address, absl::Duration timeout)
    : m_address(std::move(address)), m_timeout(timeout) {}

std::string daemon_client::get(const std::string& path, const std::string& key, const std::string& value) const {
    httplib::Client client(m_address.address, m_address.port);
    client.set_connection_timeout(absl::ToChronoMicroseconds(m_timeout));
    client.set_read_timeout(absl::ToChronoMicroseconds(m_timeout));
    const httplib::Params query = key.empty() ? httplib::Params{} : httplib::Params{{key, value}};
    const auto response = client.Get(path, query, httplib::Headers{});
    if (!response) {
        throw error(result_code::peer_unreachable,
                    fmt::format("{}: {}", to_string(m_address), httplib::to_string(response.error())));
    }
    if (response->status >= 400 && response->status < 500) {
        throw error(result_code::config_bad_value, fmt::format("{}: {}", response->status, response->body));
    }
    if (response->status != 200) {
        throw error(result_code::peer_unreachable, fmt::format("status {}: {}", response->status, response->body));
    }
    parse_json(response->body);
    return response->body;
}

std::string flatten_json(const std::string& json) {
    std::string lines;
    append_lines("", parse_json(json), lines);
    return lines;
}

} // namespace amaranthladder
