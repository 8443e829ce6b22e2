#pragma once

#include "common/result_code.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace amaranthladder {

/// Identifies one declaration of a move. Editing a move changes `introduced_in` and thus its identity.
struct move_identity {
    std::string name;
    std::uint64_t introduced_in = 0; ///< Configuration version that introduced the declaration.

    friend bool operator==(const move_identity&, const move_identity&) = default;
    friend bool operator<(const move_identity& left, const move_identity& right) {
        return std::tie(left.name, left.introduced_in) < std::tie(right.name, right.introduced_in);
    }
};

/// State or outcome of a move. A merge never yields a lower value than either of its arguments.
enum class move_verdict {
    under_way,
    replaced, ///< The declaration was edited or removed before the move ended.
    done_late,
    done,
    rolled_back,
};

/// @return the stable name of @p verdict, as used by status, explain and reports.
std::string_view name(move_verdict verdict);

/// Call counts of one version since the move started.
struct call_summary {
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t median_us = 0; ///< Median latency in microseconds; 0 if unknown.

    friend bool operator==(const call_summary&, const call_summary&) = default;
    friend bool operator<(const call_summary& left, const call_summary& right) {
        return std::tie(left.calls, left.failed, left.refused, left.median_us) <
               std::tie(right.calls, right.failed, right.refused, right.median_us);
    }
};

/// The decision to roll a move back: reason, time, deciding daemon and the call counts behind it.
struct rollback_record {
    absl::Time decided_at;
    result_code reason = result_code::move_taken_back_failures;
    std::string decided_by;          ///< Daemon id.
    std::string route;               ///< Route whose calls decided; empty for all routes together.
    int stage = 0;                   ///< Stage at the decision.
    std::uint64_t exposed_calls = 0; ///< Calls that the new version had received, as known to the daemon.
    call_summary new_version;
    call_summary old_version;

    friend bool operator==(const rollback_record&, const rollback_record&) = default;
    friend bool operator<(const rollback_record& left, const rollback_record& right) {
        const auto fields = [](const rollback_record& value) {
            return std::tie(value.decided_at, value.reason, value.decided_by, value.route, value.stage,
                            value.exposed_calls, value.new_version, value.old_version);
        };
        return fields(left) < fields(right);
    }
};

/// The shared state of a move, merged from the records of all daemons.
struct move_progress {
    absl::Time deadline = absl::InfiniteFuture();
    absl::Time started_at = absl::InfiniteFuture();   ///< Earliest time at which a daemon learned of the move.
    absl::Time completed_at = absl::InfiniteFuture(); ///< Earliest time at which the new version had the full share.
    int stage = 0;                                    ///< Index of a stage in move_policy.
    bool is_replaced = false;
    std::optional<rollback_record> rollback;

    /// @return the verdict that follows from the fields.
    move_verdict verdict() const;

    friend bool operator==(const move_progress&, const move_progress&) = default;
};

/// The version of a move that a count belongs to.
enum class move_side { old_version, new_version };

/// Outcome of a call at its owner.
enum class call_outcome {
    good,
    failed,  ///< Started, but without a usable answer: error status, timeout, lost or truncated answer.
    refused, ///< Refused by the upstream or its queue.
};

/// Cumulative call counts of one daemon for one route and one version of a move. The counts only grow while the daemon
/// runs, so the record with the higher (incarnation, sequence) includes the other one and nothing is counted twice.
struct move_call_counts {
    /// Number of latency buckets. Bucket i holds latencies up to 250 us * sqrt(2)^i; the last one holds all above.
    static constexpr int latency_bucket_count = 40;
    static constexpr std::size_t max_id_length = 64;

    std::string contributor; ///< Daemon id.
    move_side side = move_side::old_version;
    std::string route;
    std::uint64_t incarnation = 0; ///< Grows with each start of the contributor.
    std::uint64_t sequence = 0;
    absl::Time counted_until; ///< By the contributor's clock, so receivers use differences only.
    bool has_upstream = true; ///< False once the contributor no longer has an upstream of this version.
    bool is_urgent = false;   ///< The contributor suspects a fault; receivers send their counts sooner.
    std::uint64_t good = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::vector<std::uint32_t> latency; ///< Good calls by latency bucket, without trailing zeros.

    /// @return the bucket of @p latency.
    static int latency_bucket(absl::Duration latency);
    /// @return the geometric midpoint of @p bucket.
    static absl::Duration bucket_midpoint(int bucket);

    friend bool operator==(const move_call_counts&, const move_call_counts&) = default;
};

/// One replicated record of a move: its progress, or the call counts of one daemon.
///
/// Progress goes to every daemon, call counts only to daemons beside upstreams of the service.
struct move_record {
    /// Start of the names of moves that come from operators' orders.
    static constexpr std::string_view order_move_prefix = "order-";

    move_identity identity;
    std::variant<move_progress, move_call_counts> content;

    /// @return the key of the record; records with the same key are merged.
    std::string key() const;

    /// @return true for records that must not wait for the next periodic message: rollbacks, the call counts of a
    /// daemon that suspects a fault, and the progress of orders. An order's share rises within a second, and daemons
    /// that learn of it late would spend the exposure on shares at which a fault under load does not show.
    bool is_urgent() const;

    /// @return the record in the format read by `decode`, at most max_encoded_size bytes.
    /// @throws error with result_code::move_record_malformed if a name, number or list exceeds its limit.
    std::string encode() const;

    /// @param bytes an encoded record.
    /// @return the record.
    /// @throws error with result_code::move_record_malformed if @p bytes is not exactly one valid record.
    static move_record decode(std::string_view bytes);

    static constexpr std::size_t max_encoded_size = 512;

    friend bool operator==(const move_record&, const move_record&) = default;
};

/// Merges two records with the same key. Commutative, associative and idempotent.
/// @return the merged record (least upper bound).
/// @throws error with result_code::internal_error if the keys differ.
move_record merge(const move_record& left, const move_record& right);

} // namespace amaranthladder
