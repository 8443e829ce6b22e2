#include "peers/opaque_table.h"

#include "peers/message_codec.h"

namespace amaranthladder {

std::string opaque_traits::key(const opaque_record& value) const {
    return value.key;
}

opaque_record opaque_traits::merge(const opaque_record& stored, const opaque_record& received) const {
    return {stored.key, rules.merge(stored.key, stored.bytes, received.bytes)};
}

std::string opaque_traits::encode(const opaque_record& value) const {
    return message_codec::encode(value);
}

std::optional<opaque_record> opaque_traits::decode(std::string_view bytes) const {
    return message_codec::decode_opaque(bytes);
}

bool opaque_traits::is_tombstone(const opaque_record& /*value*/) const {
    return false;
}

} // namespace amaranthladder
