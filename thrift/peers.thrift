// Messages between daemons. Regenerate with scripts/generate_thrift.sh; the generated code is committed.
namespace cpp amaranthladder.wire

struct endpoint {
  1: binary address  // 4 or 16 bytes, network order
  2: i32 port
}

struct member {
  1: endpoint address
  2: endpoint http_address
  3: string data_center
  4: i32 state
  5: i64 incarnation
}

struct upstream {
  1: string id
  2: string service_name
  3: string version
  4: string data_center
  5: endpoint owner
  6: endpoint address
  7: i32 slots
  8: list<string> routes
  9: bool is_leaving
  10: bool is_withdrawn
  11: i64 incarnation
  12: i64 sequence
  13: i64 started_at_ms
}

struct opaque {
  1: string key
  2: binary bytes
}

struct configuration_digest {
  1: i64 version
  2: binary hash
}

struct record {
  1: i32 table
  2: binary bytes
  3: i32 tombstone_age_s
}

struct datagram {
  1: i64 mesh_hash
  2: i32 kind
  3: i64 sequence
  4: member sender
  5: optional endpoint target
  6: configuration_digest configuration
  7: binary table_roots  // 8 bytes per table, little-endian
  8: list<record> records
  9: bool follows_store  // the sender watches the store and sees its changes at once
  10: list<binary> reports  // encoded opaque records for the receiver only
}

struct pull_request {
  1: i64 mesh_hash
  2: configuration_digest held
}

struct table_offer {
  1: i32 table
  2: binary bucket_hashes  // 8 bytes per bucket, little-endian
}

struct repair_offer {
  1: i64 mesh_hash
  2: list<table_offer> tables
}

struct table_difference {
  1: i32 table
  2: binary buckets       // one byte per differing bucket
  3: binary fingerprints  // 16 bytes per record: hash of the key, hash of the record
}

struct repair_difference {
  1: list<table_difference> tables
}

struct table_wanted {
  1: i32 table
  2: binary fingerprints
}

struct repair_exchange {
  1: i64 mesh_hash
  2: list<table_wanted> wanted
  3: list<record> records
}

struct repair_records {
  1: list<record> records
  2: i32 answered
}

exception refusal {
  1: i32 code
}

service peer_exchange {
  // Returns the delta from the held version to the current one, or the whole snapshot; empty if none is newer.
  binary pull(1: pull_request request) throws (1: refusal refused)
  repair_difference compare(1: repair_offer offered) throws (1: refusal refused)
  repair_records exchange(1: repair_exchange request) throws (1: refusal refused)
}
