#include "common/endpoint.h"

#include "common/error.h"
#include "common/parse_number.h"

#include <fmt/format.h>

#include <optional>

#include <arpa/inet.h>

namespace amaranthladder {

namespace {

bool is_ip_address(const std::string& address) {
    in6_addr parsed{};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1 || inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
}

} // namespace

endpoint parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw error(result_code::setting_bad_value, fmt::format("'{}' is not ADDRESS:PORT", text));
    }
    std::string address(text.substr(0, colon));
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    const std::optional<std::uint16_t> port = parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!is_ip_address(address) || !port) {
        throw error(result_code::setting_bad_value, fmt::format("'{}' is not a numeric IP address with a port", text));
    }
    return {address, *port};
}

std::string to_string(const endpoint& value) {
    const bool is_v6 = value.address.find(':') != std::string::npos;
    return is_v6 ? fmt::format("[{}]:{}", value.address, value.port) : fmt::format("{}:{}", value.address, value.port);
}

} // namespace amaranthladder
