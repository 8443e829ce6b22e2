#include "config/move_stamp.h"

#include <tuple>

namespace amaranthladder {

namespace {

bool is_same_text(const move& left, const move& right) {
    const auto text = [](const move& value) {
        return std::tie(value.service, value.from_version, value.to_version, value.deadline);
    };
    return text(left) == text(right);
}

} // namespace

void stamp_moves(const intended_state* previous, intended_state& next, std::uint64_t new_version) {
    for (auto& [name, value] : next.moves) {
        value.introduced_in = new_version;
        if (previous == nullptr) {
            continue;
        }
        const auto before = previous->moves.find(name);
        if (before != previous->moves.end() && is_same_text(before->second, value)) {
            value.introduced_in = before->second.introduced_in;
        }
    }
}

} // namespace amaranthladder
