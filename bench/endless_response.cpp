#include "endless_response.h"

#include <algorithm>

namespace amaranthladder {

namespace {

constexpr std::size_t flood_piece_bytes = std::size_t{16} * 1024;
constexpr std::size_t declared_length = 100'000;

std::string chunk(const std::string& bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = bytes.size(); rest > 0; rest /= digits.size()) {
        size.insert(size.begin(), digits[rest % digits.size()]);
    }
    return size + "\r\n" + bytes + "\r\n";
}

} // namespace

std::string_view name(endless_kind kind) {
    const auto* const found = std::ranges::find(endless_kind_names, kind, [](const auto& row) { return row.first; });
    return found == endless_kind_names.end() ? "none" : found->second;
}

std::optional<endless_kind> parse_endless_kind(std::string_view text) {
    const auto* const found = std::ranges::find(endless_kind_names, text, [](const auto& row) { return row.second; });
    return found == endless_kind_names.end() ? std::nullopt : std::optional(found->first);
}

endless_bytes make_endless_bytes(endless_kind kind, const std::string& headers) {
    const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
    const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (kind) {
    case endless_kind::head_flood:
        return {head, "x-filler: " + std::string(flood_piece_bytes, 'h') + "\r\n"};
    case endless_kind::head_line:
        return {head + "x-filler: ", std::string(flood_piece_bytes, 'h')};
    case endless_kind::head_drip:
        return {head, "x-filler: h\r\n", true};
    case endless_kind::garbage:
        return {"", std::string(flood_piece_bytes, 'g')};
    case endless_kind::interim:
        return {"", "HTTP/1.1 103 Early Hints\r\n\r\n"};
    case endless_kind::chunk_flood:
        return {chunked_head, chunk(std::string(flood_piece_bytes, 'c'))};
    case endless_kind::chunk_drip:
        return {chunked_head, chunk("c"), true};
    case endless_kind::chunk_extension:
        return {chunked_head + "1;", std::string(flood_piece_bytes, 'e')};
    case endless_kind::chunk_trailer:
        return {chunked_head + chunk("c") + "0\r\n", "x-filler: " + std::string(flood_piece_bytes, 't') + "\r\n"};
    case endless_kind::close_flood:
        return {head + "Connection: close\r\n\r\n", std::string(flood_piece_bytes, 'b')};
    case endless_kind::close_drip:
        return {head + "Connection: close\r\n\r\n", "b", true};
    case endless_kind::length_drip:
        return {head + "Content-Length: " + std::to_string(declared_length) + "\r\n\r\n", "b", true};
    case endless_kind::none:
    case endless_kind::surplus:
    case endless_kind::late_surplus:
    case endless_kind::late_duplicate:
        break;
    }
    return {};
}

} // namespace amaranthladder
