#include "daemon/evacuation_record.h"

#include "common/error.h"
#include "common/parse_number.h"

#include <fmt/format.h>

#include <optional>

namespace amaranthladder {

namespace {

constexpr std::string_view active_word = " active";
constexpr std::string_view ended_word = " ended";

} // namespace

std::string evacuation_record::encode() const {
    return fmt::format("{}{}", changed_in, is_active ? active_word : ended_word);
}

evacuation_record evacuation_record::decode(std::string_view bytes) {
    evacuation_record result;
    result.is_active = bytes.ends_with(active_word);
    const std::string_view word = result.is_active ? active_word : ended_word;
    const std::optional<revision> number =
        bytes.ends_with(word) ? parse_number<revision>(bytes.substr(0, bytes.size() - word.size())) : std::nullopt;
    if (!number) {
        throw error(result_code::message_malformed, "the record of an evacuation is not a revision and a state");
    }
    result.changed_in = *number;
    return result;
}

evacuation_record merge(const evacuation_record& left, const evacuation_record& right) {
    if (left.changed_in != right.changed_in) {
        return left.changed_in > right.changed_in ? left : right;
    }
    return left.is_active ? right : left;
}

} // namespace amaranthladder
