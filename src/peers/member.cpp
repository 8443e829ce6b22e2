#include "peers/member.h"

namespace amaranthladder {

std::string_view name(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspected:
        return "suspected";
    case member_state::dead:
        return "dead";
    case member_state::left:
        break;
    }
    return "left";
}

} // namespace amaranthladder
