#include "peers/member_table.h"

#include "peers/message_codec.h"

#include <tuple>

namespace amaranthladder {

std::string member_traits::key(const member& value) const {
    return to_string(value.address);
}

member member_traits::merge(const member& held, const member& heard) const {
    const auto held_order = std::tie(held.incarnation, held.state);
    const auto heard_order = std::tie(heard.incarnation, heard.state);
    if (held_order != heard_order) {
        return held_order < heard_order ? heard : held;
    }
    return encode(held) < encode(heard) ? heard : held;
}

std::string member_traits::encode(const member& value) const {
    return message_codec::encode(value);
}

std::optional<member> member_traits::decode(std::string_view bytes) const {
    return message_codec::decode_member(bytes);
}

bool member_traits::is_tombstone(const member& value) const {
    return value.state == member_state::dead || value.state == member_state::left;
}

} // namespace amaranthladder
