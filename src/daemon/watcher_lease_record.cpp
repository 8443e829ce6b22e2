#include "daemon/watcher_lease_record.h"

#include "common/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace amaranthladder {

namespace {

constexpr std::string_view no_holder = "-";

} // namespace

std::string watcher_lease_record::encode() const {
    return fmt::format("{} {}", epoch, holder ? to_string(*holder) : std::string(no_holder));
}

watcher_lease_record watcher_lease_record::decode(std::string_view bytes) {
    watcher_lease_record result;
    const char* const end = bytes.data() + bytes.size();
    const auto [number_end, failure] = std::from_chars(bytes.data(), end, result.epoch);
    if (failure != std::errc{} || number_end == end || *number_end != ' ') {
        throw error(result_code::message_malformed, "a watcher lease record must consist of an epoch and an address");
    }
    const std::string_view address(number_end + 1, static_cast<std::size_t>(end - number_end - 1));
    if (address != no_holder) {
        try {
            result.holder = parse_endpoint(address);
        } catch (const error& problem) {
            throw error(result_code::message_malformed, problem.what());
        }
    }
    return result;
}

std::string watcher_lease_record_key(const std::string& data_center, int number) {
    return fmt::format("{}{}/{}", watcher_lease_record_prefix, data_center, number);
}

bool is_watcher_lease_taken(const std::string& key, const std::vector<opaque_record>& records,
                            const std::vector<member>& members, const endpoint& self) {
    const auto record = std::ranges::find(records, key, &opaque_record::key);
    if (record == records.end()) {
        return false;
    }
    const watcher_lease_record known = watcher_lease_record::decode(record->bytes);
    if (!known.holder || *known.holder == self) {
        return false;
    }
    const auto holder = std::ranges::find(members, *known.holder, &member::address);
    return holder != members.end() &&
           (holder->state == member_state::alive || holder->state == member_state::suspected);
}

std::string merge_watcher_lease_records(const std::string& held, const std::string& heard) {
    try {
        const watcher_lease_record heard_record = watcher_lease_record::decode(heard);
        if (held.empty()) {
            return heard;
        }
        const watcher_lease_record held_record = watcher_lease_record::decode(held);
        if (held_record.epoch != heard_record.epoch) {
            return held_record.epoch > heard_record.epoch ? held : heard;
        }
        // Two holders started in the same millisecond; any fixed order makes all daemons agree.
        return std::max(held, heard);
    } catch (const error&) {
        return held;
    }
}

} // namespace amaranthladder
