#include "peers/upstream_directory.h"

#include "peers/message_codec.h"

#include <tuple>
#include <utility>

namespace amaranthladder {

std::string upstream_traits::key(const upstream_record& value) const {
    return value.id;
}

upstream_record upstream_traits::merge(const upstream_record& stored, const upstream_record& received) const {
    if (is_newer(received, stored)) {
        return received;
    }
    if (is_newer(stored, received)) {
        return stored;
    }
    return encode(stored) < encode(received) ? received : stored;
}

std::string upstream_traits::encode(const upstream_record& value) const {
    return message_codec::encode(value);
}

std::optional<upstream_record> upstream_traits::decode(std::string_view bytes) const {
    return message_codec::decode_upstream(bytes);
}

bool upstream_traits::is_tombstone(const upstream_record& value) const {
    return value.is_withdrawn;
}

bool is_newer(const upstream_record& left, const upstream_record& right) {
    return std::tie(left.incarnation, left.sequence) > std::tie(right.incarnation, right.sequence);
}

upstream_directory::upstream_directory(absl::Duration retention) : m_table(upstream_traits(), retention) {}

bool upstream_directory::merge(const upstream_record& received, absl::Time now, absl::Duration tombstone_age) {
    const upstream_record* const stored = find(received.id);
    const std::string previous_service = stored == nullptr ? std::string() : stored->service;
    if (!m_table.merge(received, now, tombstone_age)) {
        return false;
    }
    set_indexed(previous_service, received.id, false);
    if (!received.is_withdrawn) {
        set_indexed(received.service, received.id, true);
    }
    return true;
}

void upstream_directory::set_indexed(const std::string& service, const std::string& id, bool is_indexed) {
    if (is_indexed) {
        m_ids_by_service[service].insert(id);
        return;
    }
    const auto found = m_ids_by_service.find(service);
    if (found != m_ids_by_service.end() && found->second.erase(id) != 0 && found->second.empty()) {
        m_ids_by_service.erase(found);
    }
}

void upstream_directory::expire(absl::Time now) {
    m_table.expire(now);
}

void upstream_directory::sweep(std::size_t bucket, const owner_query& owner_dead_since, absl::Duration limit,
                               absl::Time now) {
    std::vector<std::pair<std::string, std::string>> dropped;
    m_table.for_each_in_bucket(bucket, [&](const table_type::entry& stored) {
        const absl::Time dead_since = owner_dead_since(stored.record.owner).value_or(absl::InfinitePast());
        if (!stored.record.is_withdrawn && dead_since + limit <= now) {
            dropped.emplace_back(stored.record.service, stored.record.id);
        }
    });
    for (const auto& [service, id] : dropped) {
        set_indexed(service, id, false);
        m_table.drop(id);
    }
}

void upstream_directory::clear() {
    m_table.clear();
    m_ids_by_service.clear();
}

std::vector<upstream_record> upstream_directory::usable(const std::string& service,
                                                        const owner_query& owner_dead_since) const {
    std::vector<upstream_record> result;
    const auto ids = m_ids_by_service.find(service);
    if (ids == m_ids_by_service.end()) {
        return result;
    }
    for (const std::string& id : ids->second) {
        const upstream_record* const record = find(id);
        const bool is_owner_dead =
            owner_dead_since(record->owner).value_or(absl::InfiniteFuture()) != absl::InfiniteFuture();
        if (!record->is_leaving && !is_owner_dead) {
            result.push_back(*record);
        }
    }
    return result;
}

const upstream_record* upstream_directory::find(const std::string& id) const {
    const auto* const stored = m_table.find(id);
    return stored == nullptr ? nullptr : &stored->record;
}

} // namespace amaranthladder
