#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// A numeric IP address and a port.
struct endpoint {
    std::string address; ///< IPv4 or IPv6 address, without brackets.
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the 0 in comparisons rewritten by the compiler for a null pointer.
    friend auto operator<=>(const endpoint&, const endpoint&) = default; // NOLINT(modernize-use-nullptr)
};

/// @param text `A.B.C.D:PORT` or `[IPV6]:PORT`.
/// @return the endpoint.
/// @throws error with result_code::setting_bad_value if @p text has another form or contains a host name.
endpoint parse_endpoint(std::string_view text);

/// @return @p value in the format accepted by parse_endpoint().
std::string to_string(const endpoint& value);

} // namespace amaranthladder
