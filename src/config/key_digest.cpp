#include "config/key_digest.h"

#include "config/private/row_codec.h"

#include <algorithm>

namespace amaranthladder {

std::string key_digest(std::string_view key) {
    return sha256_hex(key).substr(0, key_digest_length);
}

bool is_key_digest(std::string_view text) {
    return text.size() == key_digest_length && std::ranges::all_of(text, [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

} // namespace amaranthladder
