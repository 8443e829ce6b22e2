#include "peers/messages.h"

namespace amaranthladder {

std::string_view name(message_kind kind) {
    switch (kind) {
    case message_kind::ping:
        return "ping";
    case message_kind::ack:
        return "ack";
    case message_kind::ping_req:
        return "ping-req";
    case message_kind::notify:
        break;
    }
    return "notify";
}

} // namespace amaranthladder
