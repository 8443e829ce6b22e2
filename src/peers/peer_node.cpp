#include "peers/peer_node.h"

#include "common/error.h"
#include "peers/message_codec.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthladder {

namespace {

// After a pause of this length, the tables are compared with a peer's at once, as after a start.
constexpr absl::Duration long_pause = absl::Seconds(5);
// Covers all buckets within about 6 s. Sweeping all at once held the lock for 43 ms with 12,000 upstreams.
constexpr std::size_t buckets_swept_per_tick = 2;
constexpr absl::Duration opaque_sweep_interval = absl::Seconds(10);
constexpr std::size_t max_repair_bytes = std::size_t{900} * 1024; // The frame stays below 1 MB.
// Bytes by which the list header of a datagram may grow when records are added.
constexpr std::size_t list_overhead_bytes = 4;
// Bytes of a datagram that reports may take; the rest is for the header, the digest and the sender.
constexpr std::size_t max_report_bytes = 900;

template <typename Table> std::vector<std::uint64_t> bucket_hashes(const Table& table) {
    const auto buckets = table.buckets();
    return {buckets.begin(), buckets.end()};
}

template <typename Element> void append(std::vector<Element>& to, std::vector<Element>& from) {
    std::ranges::move(from, std::back_inserter(to));
}

} // namespace

peer_node::peer_node(const peer_settings& settings, opaque_rules rules, absl::Time now)
    : m_settings(settings), m_mesh_hash(message_codec::mesh_hash(settings.mesh)),
      m_incarnation(static_cast<std::uint64_t>(std::max<std::int64_t>(1, absl::ToUnixMillis(now)))), m_start_time(now),
      m_membership(m_settings, m_incarnation), m_directory(settings.tombstone_retention),
      m_opaque_table(opaque_traits{std::move(rules)}, settings.tombstone_retention), m_pull_scheduler(m_settings),
      m_gossip_queue(settings.max_queued_changes), m_repair_delay(settings.join_repair_interval),
      m_notify_refill_time(now), m_notify_tokens(settings.notify_burst) {
    if (2 * settings.dead_owner_retention > settings.tombstone_retention ||
        settings.dead_owner_retention >= settings.dead_member_retention) {
        throw error(result_code::setting_conflict,
                    "dead_owner_retention must be at most half of tombstone_retention and below dead_member_retention");
    }
    m_is_joined = std::ranges::all_of(settings.seeds, [&](const endpoint& seed) { return seed == settings.address; });
}

node_output peer_node::tick(absl::Time now, absl::BitGenRef random) {
    const std::vector<probe_message> messages = m_membership.tick(now, random);
    if (m_membership.last_pause() >= m_settings.dead_owner_retention) {
        reset_after_pause(now);
    }
    if (m_membership.last_pause() >= long_pause) {
        m_repair_delay = m_settings.join_repair_interval;
        m_next_repair = now;
    }
    m_directory.expire(now);
    withdraw_unannounced(now);
    sweep_upstreams(now);
    if (now >= m_next_opaque_sweep) {
        sweep_opaque();
        m_next_opaque_sweep = now + opaque_sweep_interval;
    }
    process_member_changes(now, random);
    for (const probe_message& message : messages) {
        send(message, now);
    }
    return take_output(now, random);
}

// Other daemons may have removed tombstones during the pause, so records stored here may have been withdrawn.
void peer_node::reset_after_pause(absl::Time now) {
    m_membership.reset(now);
    m_directory.clear();
    m_gossip_queue.clear();
    m_dead_members.clear();
    m_unannounced.clear();
    m_is_joined = false;
    for (const auto& [id, record] : m_own_upstreams) {
        update_upstream(record, now, absl::ZeroDuration());
    }
}

void peer_node::sweep_upstreams(absl::Time now) {
    for (std::size_t swept = 0; swept < buckets_swept_per_tick; ++swept) {
        m_directory.sweep(m_next_swept_bucket, owner_query(), m_settings.dead_owner_retention, now);
        m_next_swept_bucket = (m_next_swept_bucket + 1) % bucket_index::bucket_count;
    }
}

void peer_node::sweep_opaque() {
    if (!m_opaque_table.traits().rules.is_obsolete) {
        return;
    }
    std::vector<std::string> obsolete;
    m_opaque_table.for_each([&](const opaque_table::entry& stored) {
        if (m_opaque_table.traits().rules.is_obsolete(stored.record)) {
            obsolete.push_back(stored.record.key);
        }
    });
    for (const std::string& key : obsolete) {
        m_opaque_table.drop(key);
    }
}

node_output peer_node::receive(std::string_view bytes, absl::Time now, absl::BitGenRef random) {
    const std::optional<datagram> message = decode(bytes);
    if (!message || message->sender.address == self().address) {
        return {};
    }
    std::vector<decoded_record> records;
    for (const table_record& record : message->records) {
        records.push_back(decode(record));
        if (!records.back().is_valid()) {
            ++m_drops.malformed;
            return {};
        }
    }
    for (const std::string& report : message->reports) {
        if (std::optional<opaque_record> decoded = message_codec::decode_opaque(report)) {
            m_pending_output.reports.push_back(std::move(*decoded));
        } else {
            ++m_drops.malformed;
        }
    }
    m_pending_output.received = message->kind;
    m_membership.merge(message->sender, now);
    for (const decoded_record& record : records) {
        merge_record(record, now);
    }
    process_member_changes(now, random);
    if (message->sender.state == member_state::alive) {
        const bool is_follower =
            std::ranges::find(m_store_followers, message->sender.address) != m_store_followers.end();
        if (is_follower && message->follows_store) {
            m_last_follower_contact = now;
        }
        process_digest(*message, now, random);
        for (const probe_message& answer : m_membership.receive(*message, now)) {
            send(answer, now);
        }
    }
    return take_output(now, random);
}

std::optional<datagram> peer_node::decode(std::string_view bytes) {
    try {
        datagram message = message_codec::decode_datagram(bytes, m_mesh_hash);
        const bool is_alive_or_left =
            message.sender.state == member_state::alive || message.sender.state == member_state::left;
        if (is_alive_or_left) {
            return message;
        }
        ++m_drops.malformed;
    } catch (const error& problem) {
        if (problem.code() == result_code::message_too_large) {
            ++m_drops.too_large;
        } else if (problem.code() == result_code::message_other_mesh) {
            ++m_drops.other_mesh;
        } else {
            ++m_drops.malformed;
        }
    }
    return std::nullopt;
}

peer_node::decoded_record peer_node::decode(const table_record& record) {
    decoded_record out;
    out.table = record.table;
    out.age = absl::Seconds(record.tombstone_age_s);
    switch (record.table) {
    case table_id::members:
        out.as_member = message_codec::decode_member(record.bytes);
        break;
    case table_id::upstreams:
        out.as_upstream = message_codec::decode_upstream(record.bytes);
        break;
    case table_id::opaque:
        out.as_opaque = message_codec::decode_opaque(record.bytes);
        break;
    }
    return out;
}

void peer_node::merge_record(const decoded_record& received, absl::Time now) {
    if (received.as_member) {
        m_membership.merge(*received.as_member, now, received.age);
    } else if (received.as_upstream) {
        merge_upstream(*received.as_upstream, now, received.age);
    } else if (received.as_opaque) {
        merge_opaque(*received.as_opaque);
    }
}

void peer_node::merge_upstream(const upstream_record& received, absl::Time now, absl::Duration age) {
    const auto own = m_own_upstreams.find(received.id);
    const bool is_mine = received.owner == m_settings.http_address;
    if (is_mine && own != m_own_upstreams.end()) {
        if (is_newer(received, own->second)) {
            // A record of an earlier run that is ordered later, e.g. because the clock was set back since then.
            own->second.incarnation = received.incarnation + 1;
            own->second.sequence = 0;
            update_upstream(own->second, now, absl::ZeroDuration());
        }
        return;
    }
    if (!received.is_withdrawn && !is_mine && is_owner_expired(received, now)) {
        return;
    }
    const upstream_record* const stored = m_directory.find(received.id);
    if (stored != nullptr && *stored == received) {
        return;
    }
    update_upstream(received, now, age);
    if (own != m_own_upstreams.end() && m_directory.find(received.id)->owner != m_settings.http_address) {
        m_own_upstreams.erase(own);
    }
}

bool peer_node::is_owner_expired(const upstream_record& record, absl::Time now) const {
    // A record of an unknown owner may be older than the retention of dead members and tombstones. A record of a new
    // owner is received again, through gossip or a repair, after the owner's member record.
    const auto dead_since = m_membership.owner_dead_since(record.owner);
    return dead_since.value_or(absl::InfinitePast()) + m_settings.dead_owner_retention <= now;
}

void peer_node::update_upstream(const upstream_record& changed, absl::Time now, absl::Duration age) {
    if (!m_directory.merge(changed, now, age)) {
        return;
    }
    if (changed.owner == m_settings.http_address && !changed.is_withdrawn && !m_own_upstreams.contains(changed.id)) {
        m_unannounced.insert(changed.id);
    }
    const auto* const stored = m_directory.table().find(changed.id);
    m_gossip_queue.add(table_id::upstreams, changed.id, message_codec::encode(changed), stored->tombstone_since,
                       changed.is_leaving);
    if (changed.is_leaving) {
        request_notifications(1);
    }
    m_pending_output.upstreams.push_back(changed);
}

bool peer_node::merge_opaque(const opaque_record& received) {
    const opaque_rules& rules = m_opaque_table.traits().rules;
    if ((rules.is_obsolete && rules.is_obsolete(received)) || !m_opaque_table.merge(received, m_start_time)) {
        return false;
    }
    const opaque_record& merged = m_opaque_table.find(received.key)->record;
    const bool is_urgent = rules.is_urgent && rules.is_urgent(merged);
    m_gossip_queue.add(table_id::opaque, merged.key, message_codec::encode(merged), absl::InfiniteFuture(), is_urgent);
    if (is_urgent) {
        request_notifications(m_settings.urgent_rounds);
    }
    m_pending_output.opaque.push_back(merged);
    return true;
}

void peer_node::process_digest(const datagram& message, absl::Time now, absl::BitGenRef random) {
    const configuration_digest& received = message.digest.configuration;
    const bool is_near = message.sender.data_center == m_settings.data_center;
    m_pull_scheduler.receive_digest(message.sender.address, received, is_near, now, random);
    // The ack to a ping carries the digest anyway; senders of other messages would wait for the next probe round.
    if (received.version < current_configuration().version && message.kind != message_kind::ping) {
        send({message.sender.address, message_kind::notify, 0, {}}, now);
    }
    request_repair_if_needed(message, now, random);
}

void peer_node::request_repair_if_needed(const datagram& message, absl::Time now, absl::BitGenRef random) {
    repair_task task{message.sender.address, {}};
    const peer_digest own = digest();
    for (std::size_t table = 0; table < table_count; ++table) {
        task.is_differing[table] = own.table_roots[table] != message.digest.table_roots[table];
    }
    if (own.table_roots == message.digest.table_roots) {
        m_is_joined = true;
        return;
    }
    if (m_running_repair || now < m_next_repair) {
        return;
    }
    m_running_repair = task;
    m_pending_output.repairs.push_back(task);
    m_next_repair = now + absl::Uniform(random, 0.75, 1.25) * m_repair_delay;
    m_repair_delay = std::min(2 * m_repair_delay, m_settings.repair_interval);
}

void peer_node::finish_repair(const repair_task& task, bool is_ok, absl::Time now, absl::BitGenRef random) {
    if (m_running_repair == task) {
        m_running_repair.reset();
    }
    m_is_joined = m_is_joined || is_ok;
    process_member_changes(now, random);
}

void peer_node::process_member_changes(absl::Time now, absl::BitGenRef random) {
    for (member& changed : m_membership.take_changes()) {
        const auto* const stored = m_membership.table().find(to_string(changed.address));
        const absl::Time since = stored == nullptr ? absl::InfiniteFuture() : stored->tombstone_since;
        m_gossip_queue.add(table_id::members, to_string(changed.address), message_codec::encode(changed), since, false);
        if (changed.state == member_state::dead) {
            m_dead_members.insert(changed.address);
        } else if (m_dead_members.erase(changed.address) != 0 && changed.state == member_state::alive) {
            // Possibly the end of a partition: the tables of both sides are compared soon.
            m_repair_delay = std::min(m_repair_delay, 4 * m_settings.join_repair_interval);
            m_next_repair = std::min(m_next_repair, now + absl::Uniform(random, 0.0, 1.0) * m_repair_delay);
        }
        m_pending_output.members.push_back(std::move(changed));
    }
}

upstream_record peer_node::announce_upstream(upstream_record record, absl::Time now) {
    record.owner = m_settings.http_address;
    record.is_withdrawn = false;
    const auto own = m_own_upstreams.find(record.id);
    const upstream_record* const stored = m_directory.find(record.id);
    if (own != m_own_upstreams.end()) {
        record.incarnation = own->second.incarnation;
        record.sequence = own->second.sequence;
        if (record == own->second) {
            return record;
        }
        ++record.sequence;
    } else {
        const bool is_foreign = stored != nullptr && !stored->is_withdrawn && stored->owner != record.owner;
        if (is_foreign && m_membership.owner_dead_since(stored->owner) == absl::InfiniteFuture()) {
            throw error(result_code::announcement_conflict,
                        record.id + " is announced by the daemon at " + to_string(stored->owner));
        }
        record.incarnation = std::max(m_incarnation, stored == nullptr ? 0 : stored->incarnation + 1);
        record.sequence = 0;
    }
    m_own_upstreams[record.id] = record;
    m_unannounced.erase(record.id);
    update_upstream(record, now, absl::ZeroDuration());
    request_notifications(1);
    return record;
}

void peer_node::withdraw_upstream(const std::string& id, absl::Time now) {
    const auto own = m_own_upstreams.find(id);
    if (own == m_own_upstreams.end()) {
        return;
    }
    upstream_record record = own->second;
    m_own_upstreams.erase(own);
    record.is_leaving = true;
    record.is_withdrawn = true;
    ++record.sequence;
    update_upstream(record, now, absl::ZeroDuration());
}

// Withdraws upstreams that were announced to an earlier run of this daemon but not to this one.
void peer_node::withdraw_unannounced(absl::Time now) {
    if (m_unannounced.empty() || now < m_start_time + m_settings.announcement_grace) {
        return;
    }
    for (const std::string& id : std::exchange(m_unannounced, {})) {
        const upstream_record* const stored = m_directory.find(id);
        if (stored == nullptr || stored->is_withdrawn || stored->owner != m_settings.http_address) {
            continue;
        }
        upstream_record record = *stored;
        record.is_leaving = true;
        record.is_withdrawn = true;
        ++record.sequence;
        update_upstream(record, now, absl::ZeroDuration());
    }
}

bool peer_node::put_opaque(const opaque_record& record, absl::Time /*now*/) {
    if (record.key.empty() || record.key.size() + record.bytes.size() > max_opaque_bytes) {
        throw error(result_code::message_too_large, "record " + record.key);
    }
    const bool is_changed = merge_opaque(record);
    if (is_changed) {
        request_notifications(1);
    }
    return is_changed;
}

void peer_node::send_reports(const std::vector<endpoint>& to, const std::vector<opaque_record>& records,
                             absl::Time now) {
    std::vector<std::vector<std::string>> datagrams;
    std::size_t used = max_report_bytes;
    for (const opaque_record& record : records) {
        std::string bytes = message_codec::encode(record);
        if (bytes.size() > max_report_bytes) {
            ++m_drops.too_large;
            continue;
        }
        if (used + bytes.size() > max_report_bytes) {
            datagrams.emplace_back();
            used = 0;
        }
        used += bytes.size() + list_overhead_bytes;
        datagrams.back().push_back(std::move(bytes));
    }
    for (const endpoint& receiver : to) {
        for (const std::vector<std::string>& reports : datagrams) {
            if (receiver != m_settings.address) {
                send({receiver, message_kind::notify, 0, {}}, now, reports);
            }
        }
    }
}

void peer_node::add_contacts(const std::vector<endpoint>& contacts, absl::Time now) {
    m_membership.add_contacts(contacts, now);
}

void peer_node::set_store_followers(std::vector<endpoint> followers) {
    m_store_followers = followers;
    m_membership.set_preferred_targets(std::move(followers));
}

void peer_node::set_configuration(const configuration_digest& current) {
    if (m_pull_scheduler.set_current(current)) {
        request_notifications(m_settings.notify_rounds);
    }
}

void peer_node::finish_pull(const pull_task& task, pull_outcome outcome, absl::Time now, absl::BitGenRef random) {
    m_pull_scheduler.finish(task, outcome, now, random);
}

void peer_node::leave(absl::Time now) {
    std::vector<std::string> ids;
    for (const auto& [id, record] : m_own_upstreams) {
        ids.push_back(id);
    }
    for (const std::string& id : ids) {
        withdraw_upstream(id, now);
    }
    m_membership.leave(now);
    request_notifications(1);
    m_next_notify = now;
    m_notify_tokens = std::max(m_notify_tokens, static_cast<double>(m_settings.notify_fan_out));
}

node_output peer_node::take_output(absl::Time now, absl::BitGenRef random) {
    send_notifications(now, random);
    for (pull_task& task : m_pull_scheduler.tick(now, random)) {
        m_pending_output.pulls.push_back(std::move(task));
    }
    return std::exchange(m_pending_output, {});
}

void peer_node::request_notifications(int rounds) {
    m_pending_notify_rounds = std::max(m_pending_notify_rounds, rounds);
}

void peer_node::send_notifications(absl::Time now, absl::BitGenRef random) {
    m_notify_tokens =
        std::min(m_settings.notify_burst,
                 m_notify_tokens + absl::ToDoubleSeconds(now - m_notify_refill_time) * m_settings.notify_per_second);
    m_notify_refill_time = now;
    if (m_pending_notify_rounds == 0 || now < m_next_notify || m_notify_tokens < 1) {
        return;
    }
    const auto count = std::min<std::size_t>(static_cast<std::size_t>(m_settings.notify_fan_out),
                                             static_cast<std::size_t>(m_notify_tokens));
    for (const endpoint& peer : m_membership.random_live(count, random)) {
        send({peer, message_kind::notify, 0, {}}, now);
        m_notify_tokens -= 1;
    }
    --m_pending_notify_rounds;
    m_next_notify = now + m_settings.notify_interval;
}

void peer_node::send(const probe_message& message, absl::Time now, std::vector<std::string> reports) {
    datagram out;
    out.reports = std::move(reports);
    out.kind = message.kind;
    out.sequence = message.sequence;
    out.sender = self();
    out.target = message.target;
    out.digest = digest();
    out.follows_store = m_follows_store;
    // The first record tells a receiver that is suspected or dead about its state, so that it can refute it.
    const auto* const receiver = m_membership.table().find(to_string(message.to));
    if (receiver != nullptr && receiver->record.state != member_state::alive) {
        out.records.push_back({table_id::members, message_codec::encode(receiver->record),
                               gossip_queue::age_seconds(receiver->tombstone_since, now)});
    }
    const std::size_t used = message_codec::encode(out, m_mesh_hash).size() + list_overhead_bytes;
    if (used < max_datagram_bytes) {
        std::vector<table_record> changes = m_gossip_queue.take(max_datagram_bytes - used, transmissions(), now);
        append(out.records, changes);
    }
    m_pending_output.datagrams.push_back({message.to, message.kind, message_codec::encode(out, m_mesh_hash)});
}

int peer_node::transmissions() const {
    const auto members = static_cast<double>(m_membership.live_count()) + 2;
    return static_cast<int>(std::ceil(m_settings.transmission_multiplier * std::log2(members)));
}

const bucket_index& peer_node::index(table_id table) const {
    switch (table) {
    case table_id::members:
        return m_membership.table().index();
    case table_id::upstreams:
        return m_directory.table().index();
    case table_id::opaque:
        break;
    }
    return m_opaque_table.index();
}

peer_digest peer_node::digest() const {
    return {current_configuration(),
            {index(table_id::members).root(), index(table_id::upstreams).root(), index(table_id::opaque).root()}};
}

repair_offer peer_node::make_offer(const repair_task& task) const {
    repair_offer out;
    for (const table_id table : {table_id::members, table_id::upstreams, table_id::opaque}) {
        if (task.is_differing[static_cast<std::size_t>(table)]) {
            out.tables.push_back({table, bucket_hashes(index(table))});
        }
    }
    return out;
}

namespace {

/// Calls @p visit(table id, table) for each of the three tables.
template <typename Visit>
void for_each_table(const membership& members, const upstream_directory& directory, const opaque_table& opaque,
                    Visit&& visit) {
    visit(table_id::members, members.table());
    visit(table_id::upstreams, directory.table());
    visit(table_id::opaque, opaque);
}

template <typename Table, typename Entry>
table_record encode_entry(table_id id, const Table& table, const Entry& stored, absl::Time now) {
    return {id, table.traits().encode(stored.record), gossip_queue::age_seconds(stored.tombstone_since, now)};
}

} // namespace

repair_difference peer_node::compare(const repair_offer& offered) const {
    repair_difference out;
    for (const repair_offer::table& peer : offered.tables) {
        out.buckets[static_cast<std::size_t>(peer.id)] = index(peer.id).differing(peer.bucket_hashes);
    }
    for_each_table(m_membership, m_directory, m_opaque_table, [&](table_id id, const auto& table) {
        for (const std::uint16_t bucket : out.buckets[static_cast<std::size_t>(id)]) {
            table.for_each_in_digest(bucket, [&](std::uint64_t key_hash, const auto& stored) {
                out.fingerprints.push_back({id, key_hash, stored.record_hash});
            });
        }
    });
    return out;
}

repair_exchange peer_node::plan_exchange(const repair_difference& difference, absl::Time now) const {
    repair_exchange out;
    std::array<absl::flat_hash_map<std::uint64_t, std::uint64_t>, table_count> peer_hashes;
    for (const record_fingerprint& listed : difference.fingerprints) {
        peer_hashes[static_cast<std::size_t>(listed.table)][listed.key_hash] = listed.record_hash;
    }
    std::size_t bytes = 0;
    for_each_table(m_membership, m_directory, m_opaque_table, [&](table_id id, const auto& table) {
        const auto& hashes = peer_hashes[static_cast<std::size_t>(id)];
        for (const auto& [key_hash, record_hash] : hashes) {
            const auto* const stored = table.find_by_hash(key_hash);
            if (stored == nullptr || stored->record_hash != record_hash) {
                out.wanted.push_back({id, key_hash, record_hash});
            }
        }
        for (const std::uint16_t bucket : difference.buckets[static_cast<std::size_t>(id)]) {
            table.for_each_in_digest(bucket, [&](std::uint64_t key_hash, const auto& stored) {
                const auto listed = hashes.find(key_hash);
                const bool is_known = listed != hashes.end() && listed->second == stored.record_hash;
                if (!is_known && bytes < max_repair_bytes) {
                    out.records.push_back(encode_entry(id, table, stored, now));
                    bytes += gossip_queue::wire_size(out.records.back().bytes.size());
                }
            });
        }
    });
    return out;
}

repair_records peer_node::exchange(const repair_exchange& request, absl::Time now) {
    merge_records(request.records, now);
    repair_records out;
    std::size_t bytes = 0;
    for (const record_fingerprint& wanted : request.wanted) {
        if (bytes >= max_repair_bytes) {
            break;
        }
        ++out.answered;
        table_record record = encode_wanted(wanted, now);
        if (!record.bytes.empty()) {
            bytes += gossip_queue::wire_size(record.bytes.size());
            out.records.push_back(std::move(record));
        }
    }
    return out;
}

table_record peer_node::encode_wanted(const record_fingerprint& wanted, absl::Time now) const {
    table_record out;
    for_each_table(m_membership, m_directory, m_opaque_table, [&](table_id id, const auto& table) {
        const auto* const stored = id == wanted.table ? table.find_by_hash(wanted.key_hash) : nullptr;
        if (stored != nullptr) {
            out = encode_entry(id, table, *stored, now);
        }
    });
    return out;
}

std::size_t peer_node::merge_records(const std::vector<table_record>& records, absl::Time now) {
    const std::size_t before =
        m_pending_output.members.size() + m_pending_output.upstreams.size() + m_pending_output.opaque.size();
    for (const table_record& record : records) {
        const decoded_record received = decode(record);
        if (received.is_valid()) {
            merge_record(received, now);
        } else {
            ++m_drops.malformed;
        }
    }
    return m_pending_output.members.size() + m_pending_output.upstreams.size() + m_pending_output.opaque.size() -
           before;
}

upstream_directory::owner_query peer_node::owner_query() const {
    return [this](const endpoint& owner) { return m_membership.owner_dead_since(owner); };
}

std::vector<upstream_record> peer_node::usable_upstreams(const std::string& service) const {
    return m_directory.usable(service, owner_query());
}

std::vector<upstream_record> peer_node::upstreams() const {
    std::vector<upstream_record> out;
    m_directory.table().for_each(
        [&](const upstream_directory::table_type::entry& stored) { out.push_back(stored.record); });
    return out;
}

const upstream_record* peer_node::upstream(const std::string& id) const {
    return m_directory.find(id);
}

std::vector<opaque_record> peer_node::opaque_records() const {
    std::vector<opaque_record> out;
    m_opaque_table.for_each([&](const opaque_table::entry& stored) { out.push_back(stored.record); });
    return out;
}

std::vector<member> peer_node::members() const {
    std::vector<member> out;
    m_membership.table().for_each([&](const member_table::entry& stored) { out.push_back(stored.record); });
    return out;
}

std::vector<member> peer_node::members(member_state state) const {
    std::vector<member> out;
    m_membership.table().for_each([&](const member_table::entry& stored) {
        if (stored.record.state == state) {
            out.push_back(stored.record);
        }
    });
    return out;
}

} // namespace amaranthladder
