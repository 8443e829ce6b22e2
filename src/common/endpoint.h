#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthladder {

/// An IP number and a port.
struct endpoint {
    std::string address; ///< IPv4 or IPv6 number, without brackets.
    std::uint16_t port = 0;

    // clang-tidy 14 takes the 0 in comparisons rewritten by the compiler for a null pointer.
    friend auto operator<=>(const endpoint&, const endpoint&) = default; // NOLINT(modernize-use-nullptr)
};

/// @param text `A.B.C.D:PORT` or `[IPV6]:PORT`.
/// @return the endpoint.
/// @throws error with result_code::setting_bad_value if @p text has another form or a name in place of a number.
endpoint parse_endpoint(std::string_view text);

/// @return @p value in the form that parse_endpoint reads.
std::string to_string(const endpoint& value);

} // namespace amaranthladder
