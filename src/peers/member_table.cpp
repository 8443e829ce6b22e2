#include "peers/member_table.h"

#include "peers/message_codec.h"

#include <tuple>

namespace amaranthladder {

std::string member_traits::key(const member& value) const {
    return to_string(value.address);
}

member member_traits::merge(const member& stored, const member& received) const {
    const auto stored_order = std::tie(stored.incarnation, stored.state);
    const auto received_order = std::tie(received.incarnation, received.state);
    if (stored_order != received_order) {
        return stored_order < received_order ? received : stored;
    }
    return encode(stored) < encode(received) ? received : stored;
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
