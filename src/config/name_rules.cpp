#include "config/name_rules.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>

namespace amaranthladder {

namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_file_name_bytes = 128;
constexpr std::size_t max_path_bytes = 512;
// Maximum length of a DNS name.
constexpr std::size_t max_host_bytes = 253;

bool is_word_character(char letter) {
    return absl::ascii_isalnum(static_cast<unsigned char>(letter)) || letter == '-' || letter == '_' || letter == '.';
}

// The characters that RFC 3986 allows in a segment, without '%'.
bool is_segment_character(char letter) {
    constexpr std::string_view others = "~!$&'()*+,;=:@";
    return is_word_character(letter) || others.find(letter) != std::string_view::npos;
}

} // namespace

bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= max_name_bytes && std::ranges::all_of(name, is_word_character) &&
           absl::ascii_isalnum(static_cast<unsigned char>(name.front()));
}

bool is_valid_file_name(std::string_view name) {
    return !name.empty() && name.size() <= max_file_name_bytes && std::ranges::all_of(name, is_word_character);
}

bool is_valid_host(std::string_view host) {
    const auto is_host_character = [](char letter) {
        return is_word_character(letter) && !absl::ascii_isupper(static_cast<unsigned char>(letter));
    };
    return !host.empty() && host.size() <= max_host_bytes && std::ranges::all_of(host, is_host_character);
}

bool is_valid_path(std::string_view path) {
    if (path == "/") {
        return true;
    }
    if (path.empty() || path.front() != '/' || path.size() > max_path_bytes) {
        return false;
    }
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t size = std::min(path.find('/'), path.size());
        const std::string_view segment = path.substr(0, size);
        if (segment.empty() || segment == "." || segment == ".." ||
            !std::ranges::all_of(segment, is_segment_character)) {
            return false;
        }
        path.remove_prefix(size);
    }
    return true;
}

std::span<const std::string_view> route_methods() {
    // CONNECT and TRACE are addressed to the proxy itself and cannot be routed.
    static constexpr auto methods =
        std::to_array<std::string_view>({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"});
    return methods;
}

} // namespace amaranthladder
