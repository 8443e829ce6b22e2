#include "peers/private/wire_conversion.h"

#include "common/error.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <limits>
#include <span>

namespace amaranthladder::wire_conversion {

namespace {

constexpr std::size_t hash_bytes = 8;
constexpr std::size_t digest_hash_bytes = 16;

[[noreturn]] void throw_malformed(const std::string& what) {
    throw error(result_code::message_malformed, what);
}

void append_hash(std::string& out, std::uint64_t value) {
    for (std::size_t byte = 0; byte < hash_bytes; ++byte) {
        out.push_back(static_cast<char>(value >> (8 * byte)));
    }
}

std::string hashes_to_wire(std::span<const std::uint64_t> values) {
    std::string out;
    out.reserve(values.size() * hash_bytes);
    for (const std::uint64_t value : values) {
        append_hash(out, value);
    }
    return out;
}

std::vector<std::uint64_t> hashes_from_wire(const std::string& bytes) {
    if (bytes.size() % hash_bytes != 0) {
        throw_malformed("hash list length is not a multiple of 8 bytes");
    }
    std::vector<std::uint64_t> values(bytes.size() / hash_bytes);
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        values[index / hash_bytes] |= std::uint64_t{static_cast<unsigned char>(bytes[index])}
                                      << (8 * (index % hash_bytes));
    }
    return values;
}

template <typename Enum> Enum enum_from_wire(std::int32_t value, Enum last, const char* what) {
    if (value < 0 || value > static_cast<std::int32_t>(last)) {
        throw_malformed(what);
    }
    return static_cast<Enum>(value);
}

table_id table_from_wire(std::int32_t value) {
    return enum_from_wire(value, table_id::opaque, "unknown table");
}

std::uint64_t unsigned_from_wire(std::int64_t value) {
    if (value < 0) {
        throw_malformed("negative value in an unsigned field");
    }
    return static_cast<std::uint64_t>(value);
}

std::string fingerprints_to_wire(const std::vector<record_fingerprint>& values, table_id table) {
    std::string out;
    for (const record_fingerprint& value : values) {
        if (value.table == table) {
            append_hash(out, value.key_hash);
            append_hash(out, value.record_hash);
        }
    }
    return out;
}

void fingerprints_from_wire(const std::string& bytes, table_id table, std::vector<record_fingerprint>& out) {
    const std::vector<std::uint64_t> hashes = hashes_from_wire(bytes);
    if (hashes.size() % 2 != 0) {
        throw_malformed("fingerprint list length is not a multiple of 16 bytes");
    }
    for (std::size_t index = 0; index < hashes.size(); index += 2) {
        out.push_back({table, hashes[index], hashes[index + 1]});
    }
}

std::vector<table_record> records_from_wire(const std::vector<wire::record>& values) {
    std::vector<table_record> out;
    out.reserve(values.size());
    for (const wire::record& value : values) {
        out.push_back(from_wire(value));
    }
    return out;
}

template <typename Wire> void records_to_wire(const std::vector<table_record>& values, Wire& out) {
    out.records.reserve(values.size());
    for (const table_record& value : values) {
        out.records.push_back(to_wire(value));
    }
}

} // namespace

wire::endpoint to_wire(const endpoint& value) {
    wire::endpoint out;
    std::array<unsigned char, sizeof(in6_addr)> number{};
    if (inet_pton(AF_INET, value.address.c_str(), number.data()) == 1) {
        out.address.assign(reinterpret_cast<const char*>(number.data()), sizeof(in_addr));
    } else if (inet_pton(AF_INET6, value.address.c_str(), number.data()) == 1) {
        out.address.assign(reinterpret_cast<const char*>(number.data()), sizeof(in6_addr));
    } else {
        throw_malformed("'" + value.address + "' is not an IP address");
    }
    out.port = value.port;
    return out;
}

endpoint from_wire(const wire::endpoint& value) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    const int family = value.address.size() == sizeof(in_addr) ? AF_INET : AF_INET6;
    if (value.address.size() != sizeof(in_addr) && value.address.size() != sizeof(in6_addr)) {
        throw_malformed("address is neither 4 nor 16 bytes long");
    }
    if (value.port < 0 || value.port > std::numeric_limits<std::uint16_t>::max()) {
        throw_malformed("port out of range");
    }
    inet_ntop(family, value.address.data(), text.data(), text.size());
    return {text.data(), static_cast<std::uint16_t>(value.port)};
}

wire::member to_wire(const member& value) {
    wire::member out;
    out.address = to_wire(value.address);
    out.http_address = to_wire(value.http_address);
    out.data_center = value.data_center;
    out.state = static_cast<std::int32_t>(value.state);
    out.incarnation = static_cast<std::int64_t>(value.incarnation);
    return out;
}

member from_wire(const wire::member& value) {
    return {from_wire(value.address), from_wire(value.http_address), value.data_center,
            enum_from_wire(value.state, member_state::left, "unknown member state"),
            unsigned_from_wire(value.incarnation)};
}

wire::upstream to_wire(const upstream_record& value) {
    wire::upstream out;
    out.id = value.id;
    out.service_name = value.service;
    out.version = value.version;
    out.data_center = value.data_center;
    out.owner = to_wire(value.owner);
    out.address = to_wire(value.address);
    out.slots = value.slots;
    out.routes = value.routes;
    out.is_leaving = value.is_leaving;
    out.is_withdrawn = value.is_withdrawn;
    out.incarnation = static_cast<std::int64_t>(value.incarnation);
    out.sequence = static_cast<std::int64_t>(value.sequence);
    out.started_at_ms = absl::ToUnixMillis(value.started_at);
    return out;
}

upstream_record from_wire(const wire::upstream& value) {
    if (value.id.empty() || value.slots < 0) {
        throw_malformed("upstream without an id or with negative slots");
    }
    upstream_record out;
    out.id = value.id;
    out.service = value.service_name;
    out.version = value.version;
    out.data_center = value.data_center;
    out.owner = from_wire(value.owner);
    out.address = from_wire(value.address);
    out.slots = value.slots;
    out.routes = value.routes;
    out.is_leaving = value.is_leaving;
    out.is_withdrawn = value.is_withdrawn;
    out.incarnation = unsigned_from_wire(value.incarnation);
    out.sequence = unsigned_from_wire(value.sequence);
    out.started_at = absl::FromUnixMillis(value.started_at_ms);
    return out;
}

wire::configuration_digest to_wire(const configuration_digest& value) {
    wire::configuration_digest out;
    out.version = static_cast<std::int64_t>(value.version);
    out.hash = value.hash;
    return out;
}

configuration_digest from_wire(const wire::configuration_digest& value) {
    return {unsigned_from_wire(value.version), value.hash};
}

wire::record to_wire(const table_record& value) {
    wire::record out;
    out.table = static_cast<std::int32_t>(value.table);
    out.bytes = value.bytes;
    out.tombstone_age_s = static_cast<std::int32_t>(value.tombstone_age_s);
    return out;
}

table_record from_wire(const wire::record& value) {
    return {table_from_wire(value.table), value.bytes,
            static_cast<std::uint32_t>(unsigned_from_wire(value.tombstone_age_s))};
}

wire::datagram to_wire(const datagram& value, std::uint64_t mesh) {
    wire::datagram out;
    out.mesh_hash = static_cast<std::int64_t>(mesh);
    out.kind = static_cast<std::int32_t>(value.kind);
    out.sequence = static_cast<std::int64_t>(value.sequence);
    out.sender = to_wire(value.sender);
    if (!value.target.address.empty()) {
        out.__set_target(to_wire(value.target));
    }
    out.configuration = to_wire(value.digest.configuration);
    out.configuration.hash.resize(std::min(out.configuration.hash.size(), digest_hash_bytes));
    out.table_roots = hashes_to_wire(value.digest.table_roots);
    records_to_wire(value.records, out);
    out.follows_store = value.follows_store;
    out.reports = value.reports;
    return out;
}

datagram from_wire(const wire::datagram& value) {
    datagram out;
    out.kind = enum_from_wire(value.kind, message_kind::notify, "unknown kind of datagram");
    out.sequence = unsigned_from_wire(value.sequence);
    out.sender = from_wire(value.sender);
    if (value.__isset.target) {
        out.target = from_wire(value.target);
    }
    out.digest.configuration = from_wire(value.configuration);
    const std::vector<std::uint64_t> roots = hashes_from_wire(value.table_roots);
    if (roots.size() != table_count) {
        throw_malformed("wrong number of table roots");
    }
    std::ranges::copy(roots, out.digest.table_roots.begin());
    out.records = records_from_wire(value.records);
    out.follows_store = value.follows_store;
    out.reports = value.reports;
    return out;
}

wire::repair_offer to_wire(const repair_offer& value, std::uint64_t mesh) {
    wire::repair_offer out;
    out.mesh_hash = static_cast<std::int64_t>(mesh);
    for (const repair_offer::table& table : value.tables) {
        wire::table_offer offered;
        offered.table = static_cast<std::int32_t>(table.id);
        offered.bucket_hashes = hashes_to_wire(table.bucket_hashes);
        out.tables.push_back(std::move(offered));
    }
    return out;
}

repair_offer from_wire(const wire::repair_offer& value) {
    repair_offer out;
    for (const wire::table_offer& table : value.tables) {
        out.tables.push_back({table_from_wire(table.table), hashes_from_wire(table.bucket_hashes)});
    }
    return out;
}

wire::repair_difference to_wire(const repair_difference& value) {
    wire::repair_difference out;
    for (std::size_t table = 0; table < table_count; ++table) {
        if (value.buckets[table].empty()) {
            continue;
        }
        wire::table_difference differing;
        differing.table = static_cast<std::int32_t>(table);
        for (const std::uint16_t bucket : value.buckets[table]) {
            differing.buckets.push_back(static_cast<char>(bucket));
        }
        differing.fingerprints = fingerprints_to_wire(value.fingerprints, static_cast<table_id>(table));
        out.tables.push_back(std::move(differing));
    }
    return out;
}

repair_difference from_wire(const wire::repair_difference& value) {
    repair_difference out;
    for (const wire::table_difference& table : value.tables) {
        const table_id id = table_from_wire(table.table);
        for (const char bucket : table.buckets) {
            out.buckets[static_cast<std::size_t>(id)].push_back(static_cast<unsigned char>(bucket));
        }
        fingerprints_from_wire(table.fingerprints, id, out.fingerprints);
    }
    return out;
}

wire::repair_exchange to_wire(const repair_exchange& value, std::uint64_t mesh) {
    wire::repair_exchange out;
    out.mesh_hash = static_cast<std::int64_t>(mesh);
    for (std::size_t table = 0; table < table_count; ++table) {
        wire::table_wanted wanted;
        wanted.table = static_cast<std::int32_t>(table);
        wanted.fingerprints = fingerprints_to_wire(value.wanted, static_cast<table_id>(table));
        if (!wanted.fingerprints.empty()) {
            out.wanted.push_back(std::move(wanted));
        }
    }
    records_to_wire(value.records, out);
    return out;
}

repair_exchange from_wire(const wire::repair_exchange& value) {
    repair_exchange out;
    for (const wire::table_wanted& wanted : value.wanted) {
        fingerprints_from_wire(wanted.fingerprints, table_from_wire(wanted.table), out.wanted);
    }
    out.records = records_from_wire(value.records);
    return out;
}

wire::repair_records to_wire(const repair_records& value) {
    wire::repair_records out;
    records_to_wire(value.records, out);
    out.answered = static_cast<std::int32_t>(value.answered);
    return out;
}

repair_records from_wire(const wire::repair_records& value) {
    return {records_from_wire(value.records), static_cast<std::uint32_t>(unsigned_from_wire(value.answered))};
}

} // namespace amaranthladder::wire_conversion
