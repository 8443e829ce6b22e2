#include "daemon/opaque_record_rules.h"

#include "common/error.h"
#include "common/parse_number.h"
#include "daemon/evacuation_record.h"
#include "daemon/upstream_departure.h"
#include "daemon/watcher_lease_record.h"
#include "moves/move_record.h"

#include <absl/time/time.h>

#include <fmt/format.h>

#include <optional>

namespace amaranthladder {

namespace {

/// @return the record with the newer era; @p held if @p heard cannot be read.
std::string merge_eras(const std::string& held, const std::string& heard) {
    try {
        const std::uint64_t heard_era = parse_era(heard);
        return held.empty() || heard_era > parse_era(held) ? heard : held;
    } catch (const error&) {
        return held;
    }
}

/// Merges two encoded records; @p held is returned if either cannot be decoded.
template <typename Record> std::string merge_encoded(const std::string& held, const std::string& heard) {
    try {
        const Record heard_record = Record::decode(heard);
        return held.empty() ? heard : merge(Record::decode(held), heard_record).encode();
    } catch (const error&) {
        return held;
    }
}

std::string merge_records(const std::string& key, const std::string& held, const std::string& heard) {
    if (key.starts_with(order_key_prefix)) {
        return merge_encoded<move_order>(held, heard);
    }
    if (key.starts_with(idle_record_prefix)) {
        return held.empty() ? heard : held;
    }
    if (key == store_era_key) {
        return merge_eras(held, heard);
    }
    if (key.starts_with(watcher_lease_record_prefix)) {
        return merge_watcher_lease_records(held, heard);
    }
    if (key.starts_with(departure_key_prefix)) {
        return merge_departure_records(held, heard);
    }
    if (key.starts_with(evacuation_key_prefix)) {
        return merge_encoded<evacuation_record>(held, heard);
    }
    return merge_encoded<move_record>(held, heard);
}

/// @return true if the daemons need not keep @p record any more.
bool is_obsolete_record(const opaque_record& record, absl::Time now) {
    if (!record.key.starts_with(departure_key_prefix)) {
        return false;
    }
    try {
        return is_obsolete(upstream_departure::decode(record.bytes), now);
    } catch (const error&) {
        return true;
    }
}

/// Gossip sends urgent records first: progress of moves, orders, idle upstreams, departures and evacuations. Watcher
/// lease records are not urgent.
bool is_urgent_record(const opaque_record& record) {
    return !record.key.starts_with(watcher_lease_record_prefix);
}

} // namespace

std::string idle_record_key(const move_order& order, const std::string& upstream_id) {
    return fmt::format("{}{}/{}/{}", idle_record_prefix, order.service, order.introduced_in, upstream_id);
}

std::uint64_t parse_era(const std::string& bytes) {
    const std::optional<std::uint64_t> era = parse_number<std::uint64_t>(bytes);
    if (!era) {
        throw error(result_code::message_malformed, "the era of the store is not a number");
    }
    return *era;
}

opaque_rules make_opaque_rules(const steady_clock& clock) {
    return {merge_records, [&clock](const opaque_record& record) { return is_obsolete_record(record, clock.now()); },
            is_urgent_record};
}

} // namespace amaranthladder
