#pragma once

#include "peers/member.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthladder {

/// Kinds of datagrams. `notify` announces a change and expects no answer.
enum class message_kind { ping, ack, ping_req, notify };

constexpr std::size_t message_kind_count = 4;

/// @return the name of @p kind in metrics.
std::string_view name(message_kind kind);

/// Replicated tables, in the order of their roots in a peer_digest.
enum class table_id { members, upstreams, opaque };

constexpr std::size_t table_count = 3;

constexpr std::size_t max_datagram_bytes = 1200;

/// A configuration version with its hash. Datagrams carry only the first 16 bytes of the hash.
struct configuration_digest {
    std::uint64_t version = 0;
    std::string hash;

    friend bool operator==(const configuration_digest&, const configuration_digest&) = default;
};

/// Fixed-size summary of a daemon's state, sent with each datagram.
struct peer_digest {
    configuration_digest configuration;
    std::array<std::uint64_t, table_count> table_roots{};

    friend bool operator==(const peer_digest&, const peer_digest&) = default;
};

/// One encoded table record in a message.
struct table_record {
    table_id table = table_id::members;
    std::string bytes;
    std::uint32_t tombstone_age_s = 0; ///< Seconds since a tombstone was written; 0 for other records.

    friend bool operator==(const table_record&, const table_record&) = default;
};

/// A message over UDP.
struct datagram {
    message_kind kind = message_kind::ping;
    std::uint64_t sequence = 0; ///< Chosen by the probing daemon and returned in the ack.
    member sender;
    endpoint target; ///< ping_req: the member to probe. Relayed ack: the member that answered.
    peer_digest digest;
    std::vector<table_record> records;
    bool follows_store = false;       ///< The sender watches the store and sees its changes at once.
    std::vector<std::string> reports; ///< Encoded opaque records for the receiver only, which no table holds.

    friend bool operator==(const datagram&, const datagram&) = default;
};

/// A table repair to be made with a peer.
struct repair_task {
    endpoint peer;
    std::array<bool, table_count> is_differing{}; ///< Tables whose root in the peer's digest differed.

    friend bool operator==(const repair_task&, const repair_task&) = default;
};

/// First message of a repair: the bucket hashes of the tables whose roots differ.
struct repair_offer {
    struct table {
        table_id id = table_id::members;
        std::vector<std::uint64_t> bucket_hashes;
    };
    std::vector<table> tables;
};

/// Identifies one version of a record.
struct record_fingerprint {
    table_id table = table_id::members;
    std::uint64_t key_hash = 0;
    std::uint64_t record_hash = 0;
};

/// Answer to a repair_offer: the records in the buckets that differ.
struct repair_difference {
    std::array<std::vector<std::uint16_t>, table_count> buckets; ///< Differing buckets per table.
    std::vector<record_fingerprint> fingerprints;
};

/// Second message of a repair: records that the peer lacks, and those it should return.
struct repair_exchange {
    std::vector<record_fingerprint> wanted;
    std::vector<table_record> records;
};

/// Answer to a repair_exchange.
struct repair_records {
    std::vector<table_record> records;
    std::uint32_t answered = 0; ///< Number of wanted records looked up before the size limit.
};

} // namespace amaranthladder
